use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// HTTP client that keeps connections open for reuse.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that waits for a connection for at most `connect_limit`.
///
/// The client never retries a request by itself, because only its caller knows whether the request may be carried
/// out twice.
pub fn plain_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .retry_canceled_requests(false)
        .build(connector)
}
