use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// An HTTP client with kept connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client that gives up on a connection after `connect_limit`.
///
/// It never repeats a request by itself: whether a request may run twice is not its to decide.
pub fn plain_client(connect_limit: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_limit));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .retry_canceled_requests(false)
        .build(connector)
}
