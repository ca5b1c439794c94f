//! Dialing entries for as long as they are known.

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

/// The longest that dialing may take: a machine without power says nothing, and the operating system
/// would ask again only after a second.
const DIAL_LIMIT: Duration = Duration::from_millis(250);
static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Keeps a link to an entry for as long as it is known, first dialed after a pause; a link that stands is
/// kept until it ends.
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
        let dialed = connect(address, LinkKind::Agent, DIAL_LIMIT, Arc::clone(&stats)).await;
        let jitter = rand::rng().random_range(0.5..1.5);
        let (ended, pause) = match dialed {
            Ok(link) => {
                let begun = clock.monotonic();
                let ended = serve(&actor, link).await;
                (
                    ended,
                    backoff.after_link(clock.monotonic().since(begun), jitter),
                )
            }
            Err(error) => (Err(error), backoff.after_failure(jitter)),
        };
        if let Err(error) = ended {
            debug!(entry:% = address; "link ended: {error}");
        }
        sleep(pause).await;
    }
}

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
    let take = |orders| async move {
        let told = actor.tell(AgentOrders { session, orders }).await;
        told.is_ok()
    };
    let result = link.receiver.forward(close, take).await;
    let _ = actor.tell(AgentLinkDown { session }).await;
    result
}
