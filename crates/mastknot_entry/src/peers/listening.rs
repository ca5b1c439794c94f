use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use log::debug;
use mastknot_wire::{Accepted, LinkError, LinkStats, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::serving::{serve_peer, serve_side};
use crate::actor::EntryActor;

/// How long to wait after the operating system gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Takes the links of sides and peers as long as the actor lives.
pub(crate) async fn listen(
    listener: TcpListener,
    actor: ActorRef<EntryActor>,
    stats: Arc<LinkStats>,
) {
    let mut links = JoinSet::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let actor = actor.clone();
        let stats = Arc::clone(&stats);
        links.spawn(async move {
            if let Err(error) = serve(stream, &actor, stats).await {
                debug!(from:%; "link ended: {error}");
            }
        });
        while links.try_join_next().is_some() {}
    }
}

async fn serve(
    stream: TcpStream,
    actor: &ActorRef<EntryActor>,
    stats: Arc<LinkStats>,
) -> Result<(), LinkError> {
    match accept(stream, stats).await? {
        Accepted::Side(link) => serve_side(actor, link).await,
        Accepted::Peer(link) => serve_peer(actor, link).await,
        // This entry runs whole submissions on slots; it has no sized tasks.
        Accepted::Agent(_) => Ok(()),
    }
}
