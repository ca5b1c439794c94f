use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::JoinHandle;

use super::{ResponseBody, set_up_accepted};

/// Maximum time in which a connection has to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of open connections of one listener.
const MAX_CONNECTIONS: usize = 4_096;

/// Path segments and query parameters of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestParts {
    /// Segments of the path, without empty ones.
    pub path: Vec<String>,
    /// Names and values of the query parameters.
    pub query: Vec<(String, String)>,
}

impl RequestParts {
    /// Splits a URI.
    pub fn of(uri: &http::Uri) -> Self {
        let path = uri.path().split('/').filter(|part| !part.is_empty());
        let query = uri.query().unwrap_or_default();
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let pair = |text: &str| {
            let (name, value) = text.split_once('=').unwrap_or((text, ""));
            (name.to_owned(), value.to_owned())
        };
        Self {
            path: path.map(str::to_owned).collect(),
            query: pairs.map(pair).collect(),
        }
    }

    /// Returns the value of the first query parameter with a name.
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path segments as string slices, for matching.
    pub fn segments(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }
}

/// An HTTP/1.1 and h2 server on one listener.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts a server that answers every request on `listener` with `handler`.
    ///
    /// Fails if the address of the listener can't be read.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(serve(listener, Arc::new(handler), stopped));
        Ok(Self {
            address,
            stop: Some(stop),
            task,
        })
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, waits for the requests in flight and ends the server.
    pub async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let _ = (&mut self.task).await;
    }

    /// Stops accepting connections immediately, without waiting for requests in flight.
    pub fn abort(&self) {
        self.task.abort();
    }
}

async fn serve<H, F>(listener: TcpListener, handler: Arc<H>, mut stopped: oneshot::Receiver<()>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stopped => break,
        };
        let Ok((stream, _)) = accepted else {
            // The usual cause is too many open files, so wait for other connections to close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let connection = serve_connection(stream, Arc::clone(&handler), &graceful);
        tokio::spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<H, F>(
    stream: TcpStream,
    handler: Arc<H>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + Send + 'static
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    if let Err(error) = set_up_accepted(&stream) {
        debug!(error:%; "socket options of an accepted connection not set");
    }
    let watcher = graceful.watcher();
    async move {
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT);
        builder.http2().timer(TokioTimer::new());
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        // A connection that fails does not affect others, so its error is ignored.
        let _ = watcher.watch(connection).await;
    }
}
