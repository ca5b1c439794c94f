//! Links of a side to entries: dialing, redialing and serving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::ActorRef;
use log::debug;
use mastknot_core::message::{EntryMessage, SideMessage};
use mastknot_wire::{Link, LinkError, LinkKind, LinkStats, connect};
use rand::RngExt;

use super::{Finished, Inputs, LinkUp, SideActor};

/// Maximum time of one attempt to connect to an entry.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause between two attempts, before jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause between two attempts, before jitter.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Identifier of the next link of this process.
static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Keeps a link to the entry at `address` as long as the actor runs.
///
/// The pauses between attempts double and have jitter, so that the sides of a hall do not reconnect
/// all at once.
pub(crate) async fn keep_dialing(
    actor: ActorRef<SideActor>,
    address: SocketAddr,
    stats: Arc<LinkStats>,
) {
    let mut pause = FIRST_PAUSE;
    while actor.is_alive() {
        let dialed = connect(address, LinkKind::Side, DIAL_TIMEOUT, Arc::clone(&stats)).await;
        let ended = match dialed {
            Ok(link) => {
                pause = FIRST_PAUSE;
                serve(&actor, link).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = ended {
            debug!(entry:% = address; "link to an entry ended: {error}");
        }
        let jittered = pause.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::time::sleep(jittered).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Passes the messages of one open link to the actor until the link closes.
async fn serve(
    actor: &ActorRef<SideActor>,
    mut link: Link<SideMessage, EntryMessage>,
) -> Result<(), LinkError> {
    let id = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let Some(EntryMessage::Welcome {
        entry,
        entries,
        incarnation,
    }) = link.receiver.receive().await?
    else {
        return Ok(());
    };
    let up = LinkUp {
        entry: entry.clone(),
        id,
        sender: link.sender,
    };
    let _ = actor.tell(up).await;
    let welcome = EntryMessage::Welcome {
        entry: entry.clone(),
        entries,
        incarnation,
    };
    let mut messages = vec![welcome];
    let result = loop {
        let inputs = Inputs {
            entry: entry.clone(),
            messages,
        };
        if actor.tell(inputs).await.is_err() {
            break Ok(());
        }
        match link.receiver.receive_many().await {
            Ok(Some(next)) => messages = next,
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    let _ = actor.tell(Finished::Link { entry, id }).await;
    result
}
