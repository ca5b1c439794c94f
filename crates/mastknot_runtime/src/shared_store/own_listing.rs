use std::time::Duration;

use log::{info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{
    DirectorySettings, OwnEntry, SharedItem, SharedLease, SharedStore, SharedStoreError,
    SharedWrite,
};

/// The first pause before a key that another writer has changed is written again; doubled each time.
const FIRST_REWRITE_PAUSE: Duration = Duration::from_millis(200);
/// The longest: two writers that each hold the key for theirs then cost one write a minute each.
const LONGEST_REWRITE_PAUSE: Duration = Duration::from_secs(60);

/// Keeps the own entry listed; `overwritten` has what another writer has put in its place, as far as it is seen.
pub(super) async fn keep_listed<S: SharedStore, V>(
    store: &S,
    settings: &DirectorySettings<V>,
    mut overwritten: watch::Receiver<Option<u64>>,
) {
    let (Some(own), Some(key)) = (&settings.own, settings.own_key()) else {
        return;
    };
    let mut rewrite_pause = FIRST_REWRITE_PAUSE;
    loop {
        let lease = match list_self(store, settings, &key, own).await {
            Ok(lease) => lease,
            Err(_) => {
                sleep(settings.retry_pause).await;
                continue;
            }
        };
        info!(key = key.as_str(), lease = lease.id; "listed in the store");
        overwritten.mark_unchanged();
        loop {
            tokio::select! {
                () = renew_while_valid(store, settings, lease) => break,
                changed = overwritten.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            if overwritten.borrow_and_update().is_none() {
                continue;
            }
            sleep(rewrite_pause).await;
            // What was written last meanwhile is what is replaced.
            let Some(revision) = *overwritten.borrow_and_update() else {
                continue;
            };
            warn!(key = key.as_str(), revision; "the own key in the store was changed by another writer");
            rewrite_pause = (rewrite_pause * 2).min(LONGEST_REWRITE_PAUSE);
            let written = store
                .write_leased(&key, own.value.as_bytes(), lease, Some(revision))
                .await;
            match written {
                Ok(SharedWrite::Done) => info!(key = key.as_str(); "the own key is as it was"),
                // What has come in between is seen by the next look at the directory.
                Ok(SharedWrite::Changed) => {}
                Ok(SharedWrite::LeaseOver) => break,
                Err(error) => warn!(key = key.as_str(), error:%; "the own key was not written"),
            }
        }
        warn!(key = key.as_str(); "the lease at the store is over");
    }
}

/// The revision at which another writer has changed or removed the own key, if this item says so.
pub(super) fn foreign_revision(own: &OwnEntry, item: &SharedItem) -> Option<u64> {
    let is_own = item.value.as_deref() == Some(own.value.as_bytes());
    let revision = match item.is_gone() {
        true => 0,
        false => item.revision,
    };
    (!is_own).then_some(revision)
}

async fn list_self<S: SharedStore, V>(
    store: &S,
    settings: &DirectorySettings<V>,
    key: &str,
    own: &OwnEntry,
) -> Result<SharedLease, SharedStoreError> {
    let lease = store.grant(settings.lease_time).await?;
    loop {
        let value = own.value.as_bytes();
        match store.write_leased(key, value, lease, None).await {
            Ok(SharedWrite::Done) => return Ok(lease),
            Ok(SharedWrite::LeaseOver | SharedWrite::Changed) => {
                return Err(SharedStoreError::HistoryGone);
            }
            // The same write again changes nothing if the first one was done.
            Err(SharedStoreError::NoAnswer { .. }) => sleep(settings.retry_pause).await,
            Err(error) => return Err(error),
        }
    }
}

async fn renew_while_valid<S: SharedStore, V>(
    store: &S,
    settings: &DirectorySettings<V>,
    lease: SharedLease,
) {
    let usual = lease.time / 3;
    let mut pause = usual;
    loop {
        sleep(pause).await;
        pause = match store.renew(lease).await {
            Ok(true) => usual,
            Ok(false) => return,
            Err(_) => settings.retry_pause,
        };
    }
}
