//! The store remembers what a side's target said of itself, for the next life of the side.

use std::time::Duration;

use log::{info, warn};
use mastknot_core::job::TargetProfile;
use mastknot_runtime::{SharedLease, SharedStore, SharedStoreError, SharedWrite};
use mastknot_wire::{decode_message, encode_frame};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{AgentNode, TargetPort};

/// How long a profile is remembered after its last renewal.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);
/// Between two renewals.
const RENEWAL: Duration = Duration::from_secs(180);
/// After a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pauses double up to this one: a store that is down is asked by every side.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// The bytes of a frame's length, which the store's value goes without.
const LENGTH_BYTES: usize = 4;

/// Tells the agent what the store remembers, then keeps the store's memory current.
///
/// After a loss of all processes no entry remembers the target, and its own next report may be
/// seconds away. What the store remembers is used only with the target's life it was said by.
pub async fn remember_target<P: TargetPort, S: SharedStore>(
    node: AgentNode<P>,
    store: S,
    key: String,
    mut profiles: watch::Receiver<Option<TargetProfile>>,
) {
    let mut reported = profiles.clone();
    tokio::select! {
        () = recall(&node, &store, &key) => {}
        // The target itself has said what the store might remember.
        _ = reported.wait_for(Option::is_some) => {}
    }
    let mut lease = None;
    loop {
        let known = profiles.borrow_and_update().clone();
        if let Some(profile) = known {
            match write(&store, &key, &profile, &mut lease).await {
                Ok(()) => {}
                Err(_) => {
                    sleep(RETRY_PAUSE).await;
                    profiles.mark_changed();
                }
            }
        }
        tokio::select! {
            changed = profiles.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = sleep(RENEWAL) => renew(&store, &mut lease, &mut profiles).await,
        }
    }
}

/// Tells the agent what the store remembers; asks again as long as the store gives no answer.
async fn recall<P: TargetPort, S: SharedStore>(node: &AgentNode<P>, store: &S, key: &str) {
    let mut pause = RETRY_PAUSE;
    let item = loop {
        match store.read(key).await {
            Ok(item) => break item,
            Err(error) => warn!(error:%; "remembered target not read, asked again"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    };
    let Some(value) = item.and_then(|item| item.value) else {
        return;
    };
    match decode_message::<TargetProfile>(&value) {
        Ok(profile) => {
            info!(target_id:% = profile.id; "target remembered by the store");
            node.target_remembered(profile).await;
        }
        Err(error) => warn!(error:%; "remembered target not understood"),
    }
}

async fn write<S: SharedStore>(
    store: &S,
    key: &str,
    profile: &TargetProfile,
    lease: &mut Option<SharedLease>,
) -> Result<(), SharedStoreError> {
    let mut frame = bytes::BytesMut::new();
    if let Err(error) = encode_frame(profile, &mut frame) {
        warn!(error:%; "target not remembered");
        return Ok(());
    }
    let held = match *lease {
        Some(held) => held,
        None => store.grant(REMEMBERED_FOR).await?,
    };
    let written = store
        .write_leased(key, &frame[LENGTH_BYTES..], held, None)
        .await?;
    let is_done = written == SharedWrite::Done;
    *lease = is_done.then_some(held);
    match is_done {
        true => Ok(()),
        false => Err(SharedStoreError::HistoryGone),
    }
}

async fn renew<S: SharedStore>(
    store: &S,
    lease: &mut Option<SharedLease>,
    profiles: &mut watch::Receiver<Option<TargetProfile>>,
) {
    let Some(held) = *lease else {
        return;
    };
    if let Ok(false) = store.renew(held).await {
        *lease = None;
        profiles.mark_changed();
    }
}
