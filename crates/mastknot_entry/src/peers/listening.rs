use std::sync::Arc;

use kameo::actor::ActorRef;
use mastknot_wire::{Accepted, LinkError, LinkStats, accept};
use tokio::net::{TcpListener, TcpStream};

use super::serving::{serve_peer, serve_side};
use crate::actor::EntryActor;
use crate::link_listener;

/// Accepts and serves the links of sides and peers until the future is dropped.
pub(crate) async fn listen(
    listener: TcpListener,
    actor: ActorRef<EntryActor>,
    stats: Arc<LinkStats>,
) {
    link_listener::listen(listener, |stream| {
        serve(stream, actor.clone(), Arc::clone(&stats))
    })
    .await;
}

async fn serve(
    stream: TcpStream,
    actor: ActorRef<EntryActor>,
    stats: Arc<LinkStats>,
) -> Result<(), LinkError> {
    match accept(stream, stats).await? {
        Accepted::Side(link) => serve_side(&actor, link).await,
        Accepted::Peer(link) => serve_peer(&actor, link).await,
        // This entry places tasks on slots and does not serve agents, which run tasks of known
        // size.
        Accepted::Agent(_) => Ok(()),
    }
}
