use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use log::debug;
use mastknot_core::entry::EntryEvent;
use mastknot_core::roster::MemberId;
use mastknot_wire::{LinkError, LinkKind, LinkStats, connect};
use rand::RngExt;
use tokio::sync::watch;

use super::serving::serve_peer;
use crate::actor::{EntryActor, Input};

/// Maximum time of one attempt to connect to a peer.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts, before jitter.
const REDIAL_PAUSE: Duration = Duration::from_millis(300);

/// Keeps a link to the peer at `address` as long as the actor runs.
///
/// A refused connection proves that the `expected` incarnation, which the roster lists at the
/// address, has ended; the actor is informed.
pub(crate) async fn keep_dialing(
    actor: ActorRef<EntryActor>,
    address: SocketAddr,
    expected: watch::Receiver<Option<MemberId>>,
    stats: Arc<LinkStats>,
) {
    while actor.is_alive() {
        let dialed = connect(address, LinkKind::Peer, DIAL_TIMEOUT, Arc::clone(&stats)).await;
        let ended = match dialed {
            Ok(link) => serve_peer(&actor, link).await,
            Err(error) => {
                let peer = expected.borrow().clone();
                if let (LinkError::Refused { .. }, Some(peer)) = (&error, peer) {
                    let _ = actor.tell(Input(EntryEvent::PeerDead { peer })).await;
                }
                Err(error)
            }
        };
        if let Err(error) = ended {
            debug!(peer:% = address; "link to a peer ended: {error}");
        }
        let pause = REDIAL_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::time::sleep(pause).await;
    }
}
