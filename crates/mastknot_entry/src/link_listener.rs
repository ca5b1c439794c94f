//! Listener for the links of sides and other entries.

use std::time::Duration;

use log::debug;
use mastknot_wire::LinkError;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Pause after the operating system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections and serves each in a task of its own; dropping the future ends all of the
/// tasks.
pub(crate) async fn listen<S, F>(listener: TcpListener, serve: S)
where
    S: Fn(TcpStream) -> F,
    F: Future<Output = Result<(), LinkError>> + Send + 'static,
{
    let mut links = JoinSet::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let served = serve(stream);
        links.spawn(async move {
            if let Err(error) = served.await {
                debug!(from:%; "accepted link ended: {error}");
            }
        });
        while links.try_join_next().is_some() {}
    }
}
