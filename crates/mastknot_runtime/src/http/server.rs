use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use super::accepted::limit_buffers;
use super::connection::{ConnectionParts, serve_connection};
use super::connection_table::ConnectionTable;
use super::read_turns::ReadTurns;
use super::refusal::{NO_ROOM, send};
use super::{RequestAccount, ResponseBody, ServerLimits, set_up_accepted};

/// Pause after the operating system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// An HTTP/1.1 server on one listener.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts a server that answers every request on `listener` with `handler`, with the usual limits.
    ///
    /// Fails if the address of the listener can't be read.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        Self::start_with(listener, ServerLimits::default(), handler)
    }

    /// Starts a server with other limits.
    ///
    /// Fails if the address of the listener can't be read.
    pub fn start_with<H, F>(
        listener: TcpListener,
        limits: ServerLimits,
        handler: H,
    ) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        // Accepted connections inherit the sizes.
        if let Err(error) = limit_buffers(&listener) {
            debug!(error:%; "buffers of a listener not limited");
        }
        let (stop, stopped) = oneshot::channel();
        let server = Server {
            table: Arc::new(ConnectionTable::new(&limits)),
            turns: ReadTurns::start(),
            limits,
            handler: Arc::new(handler),
        };
        let task = tokio::spawn(server.serve(listener, stopped));
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

struct Server<H> {
    table: Arc<ConnectionTable>,
    turns: ReadTurns,
    limits: ServerLimits,
    handler: Arc<H>,
}

impl<H, F> Server<H>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    async fn serve(self, listener: TcpListener, mut stopped: oneshot::Receiver<()>) {
        let (stopping, is_stopping) = watch::channel(false);
        let (running, mut all_ended) = mpsc::channel::<()>(1);
        let mut turns = self.turns.connection();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = &mut stopped => break,
            };
            let Ok((stream, _)) = accepted else {
                // The usual cause is too many open files, so wait for other connections to close.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if let Some(connection) = self.admit(stream, is_stopping.clone()) {
                let running = running.clone();
                tokio::spawn(async move {
                    connection.await;
                    drop(running);
                });
            }
            turns.pass().await;
        }
        drop(listener);
        stopping.send_replace(true);
        drop(running);
        // Nothing is sent: the channel closes with the last connection.
        let _ = all_ended.recv().await;
    }

    /// Gives an accepted connection a place and returns the future that serves it; `None` if there is no place.
    fn admit(
        &self,
        stream: TcpStream,
        stopping: watch::Receiver<bool>,
    ) -> Option<impl Future<Output = ()> + Send + 'static> {
        if let Err(error) = set_up_accepted(&stream) {
            debug!(error:%; "socket options of an accepted connection not set");
        }
        let Some(state) = self.table.admit() else {
            send(&stream, NO_ROOM);
            return None;
        };
        let parts = ConnectionParts {
            account: RequestAccount::new(Arc::clone(&self.table), state),
            limits: self.limits.requests.clone(),
            turns: self.turns.connection(),
            stopping,
        };
        Some(serve_connection(stream, parts, Arc::clone(&self.handler)))
    }
}
