use std::sync::Arc;

use kameo::actor::ActorRef;
use log::{debug, warn};
use mastknot_core::entry::EntryEvent;
use mastknot_core::roster::{Roster, RosterWrite, WriteDecision};
use mastknot_core::types::Moment;
use mastknot_runtime::{StoreReason, StoredValue, SwapResult};

use crate::actor::{EntryActor, Input, Shared};

/// Key of the roster in the store.
const ROSTER_KEY: &str = "/mastknot/roster";

/// Reads the roster with a consistent read and passes the result to the actor.
pub(crate) async fn read_roster(shared: Arc<Shared>, actor: ActorRef<EntryActor>, sent_at: Moment) {
    let reason = StoreReason::RenewAuthority;
    let event = match shared.store.get(reason, ROSTER_KEY).await {
        Ok(found) => match found.map(parse).transpose() {
            Ok(found) => EntryEvent::RosterRead { sent_at, found },
            Err(error) => {
                warn!("the stored roster is malformed: {error}");
                EntryEvent::RosterReadFailed
            }
        },
        Err(error) => {
            debug!("roster not read: {error}");
            EntryEvent::RosterReadFailed
        }
    };
    let _ = actor.tell(Input(event)).await;
}

fn parse(stored: StoredValue) -> Result<(u64, Roster), serde_json::Error> {
    let roster = serde_json::from_slice(&stored.value)?;
    Ok((stored.revision, roster))
}

/// Writes the roster by compare-and-swap and passes the store's decision to the actor.
///
/// Without an answer of the store the actor receives no message: the core sends the same write
/// again until the store has decided one of the attempts.
pub(crate) async fn write_roster(
    shared: Arc<Shared>,
    actor: ActorRef<EntryActor>,
    write: RosterWrite,
) {
    let Ok(value) = serde_json::to_vec(&write.roster) else {
        return;
    };
    let reason = StoreReason::ChangeRoster;
    let swapped = shared
        .store
        .swap(reason, ROSTER_KEY, write.expected_revision, &value);
    let written = match swapped.await {
        Ok(SwapResult::Swapped(revision)) => WriteDecision::Written(revision),
        Ok(SwapResult::NotSwapped) => WriteDecision::Superseded,
        Err(error) => {
            debug!("no answer to a roster write: {error}");
            return;
        }
    };
    let _ = actor
        .tell(Input(EntryEvent::RosterWritten { written }))
        .await;
}
