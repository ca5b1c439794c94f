//! Stored profile of a side's target, which the next incarnation of the side reads.

use std::time::Duration;

use log::{info, warn};
use mastknot_core::job::TargetProfile;
use mastknot_runtime::{SharedLease, SharedStore, SharedStoreError, SharedWrite};
use mastknot_wire::{decode_message, encode_frame};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{AgentNode, TargetPort};

/// Time that the store keeps a profile after the last renewal of its lease.
const PROFILE_LIFETIME: Duration = Duration::from_secs(600);
/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(180);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause between two reads. Pauses double up to it, because every side calls a store that
/// is down.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Size of the length prefix of a frame, in bytes; the stored value omits the prefix.
const LENGTH_BYTES: usize = 4;

/// Passes the stored profile of the target to the agent, then keeps the stored profile current.
///
/// After a loss of all processes no entry knows the target, and the target's next report may be
/// seconds away. The stored profile is used only for the incarnation of the target that reported
/// it.
pub async fn remember_target<P: TargetPort, S: SharedStore>(
    node: AgentNode<P>,
    store: S,
    key: String,
    mut profiles: watch::Receiver<Option<TargetProfile>>,
) {
    let mut reported = profiles.clone();
    tokio::select! {
        () = restore_profile(&node, &store, &key) => {}
        // A report of the target itself replaces the stored profile.
        _ = reported.wait_for(Option::is_some) => {}
    }
    let mut lease = None;
    loop {
        let known = profiles.borrow_and_update().clone();
        if let Some(profile) = known {
            match write_profile(&store, &key, &profile, &mut lease).await {
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
            () = sleep(RENEWAL_INTERVAL) => renew_lease(&store, &mut lease, &mut profiles).await,
        }
    }
}

/// Passes the stored profile to the agent; repeats the read until the store answers.
async fn restore_profile<P: TargetPort, S: SharedStore>(node: &AgentNode<P>, store: &S, key: &str) {
    let mut pause = RETRY_PAUSE;
    let item = loop {
        match store.read(key).await {
            Ok(item) => break item,
            Err(error) => warn!(error:%; "stored target profile not read, retrying"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    };
    let Some(value) = item.and_then(|item| item.value) else {
        return;
    };
    match decode_message::<TargetProfile>(&value) {
        Ok(profile) => {
            info!(target_id:% = profile.id; "target profile read from the store");
            node.target_remembered(profile).await;
        }
        Err(error) => warn!(error:%; "stored target profile can't be decoded"),
    }
}

/// Writes the profile under the held lease, or under a new one.
async fn write_profile<S: SharedStore>(
    store: &S,
    key: &str,
    profile: &TargetProfile,
    lease: &mut Option<SharedLease>,
) -> Result<(), SharedStoreError> {
    let mut frame = bytes::BytesMut::new();
    if let Err(error) = encode_frame(profile, &mut frame) {
        warn!(error:%; "target profile can't be encoded and is not stored");
        return Ok(());
    }
    let held = match *lease {
        Some(held) => held,
        None => store.grant(PROFILE_LIFETIME).await?,
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

/// Renews the lease; if the store no longer has the lease, marks the profile to be written again.
async fn renew_lease<S: SharedStore>(
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
