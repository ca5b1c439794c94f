//! Links of a side to entries: dialing, redialing and serving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::ActorRef;
use log::debug;
use mastknot_core::agent::{DialBackoff, SessionId};
use mastknot_core::job::{EntryOrder, SideReport};
use mastknot_runtime::Clock;
use mastknot_wire::{Link, LinkError, LinkKind, LinkStats, connect};
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::sleep;

use super::TargetPort;
use super::agent_actor::{AgentActor, AgentLinkDown, AgentLinkUp, AgentOrders};

/// Maximum time of one attempt to connect to an entry.
///
/// A machine without power does not answer, and the operating system would repeat its connection
/// request only after a second.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Identifier of the next link of this process.
static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Keeps a link to the entry at `address` for as long as the actor runs and `is_known` holds true.
///
/// The entry is first dialed after `first_pause`. An open link is served until it closes, even if
/// the entry is no longer known.
pub(super) async fn keep_dialing<P: TargetPort>(
    actor: ActorRef<AgentActor<P>>,
    clock: Clock,
    address: SocketAddr,
    stats: Arc<LinkStats>,
    is_known: watch::Receiver<bool>,
    first_pause: Duration,
) {
    if !first_pause.is_zero() {
        sleep(first_pause).await;
    }
    let mut backoff = DialBackoff::default();
    while actor.is_alive() && *is_known.borrow() {
        let dialed = connect(address, LinkKind::Agent, DIAL_TIMEOUT, Arc::clone(&stats)).await;
        let jitter = rand::rng().random_range(0.5..1.5);
        let (ended, pause) = match dialed {
            Ok(link) => {
                let opened_at = clock.monotonic();
                let ended = serve(&actor, link).await;
                (
                    ended,
                    backoff.after_link(clock.monotonic().since(opened_at), jitter),
                )
            }
            Err(error) => (Err(error), backoff.after_failure(jitter)),
        };
        if let Err(error) = ended {
            debug!(entry:% = address; "link to an entry ended: {error}");
        }
        sleep(pause).await;
    }
}

/// Passes the orders of one open link to the actor until the link closes.
async fn serve<P: TargetPort>(
    actor: &ActorRef<AgentActor<P>>,
    mut link: Link<SideReport, EntryOrder>,
) -> Result<(), LinkError> {
    let session = SessionId(NEXT_SESSION.fetch_add(1, Ordering::Relaxed));
    let (closed, close) = tokio::sync::oneshot::channel();
    let up = AgentLinkUp {
        session,
        sender: link.sender,
        closed,
    };
    let _ = actor.tell(up).await;
    let deliver = |orders| async move {
        let delivered = actor.tell(AgentOrders { session, orders }).await;
        delivered.is_ok()
    };
    let result = link.receiver.forward(close, deliver).await;
    let _ = actor.tell(AgentLinkDown { session }).await;
    result
}
