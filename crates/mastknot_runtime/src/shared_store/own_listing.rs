use std::time::Duration;

use log::{info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{
    DirectorySettings, OwnEntry, SharedItem, SharedLease, SharedStore, SharedStoreError,
    SharedWrite,
};

/// First pause before the own key is written again after another writer has changed it. It doubles each time.
const FIRST_REWRITE_PAUSE: Duration = Duration::from_millis(200);
/// Maximum pause before the own key is written again. If two processes claim the same key, each of them writes it at
/// most once a minute in the long run.
const MAX_REWRITE_PAUSE: Duration = Duration::from_secs(60);

/// Keeps this process listed in the directory.
///
/// `overwritten` holds the revision at which another writer has changed the own key, 0 if the key was removed.
pub(super) async fn keep_listed<S: SharedStore, V>(
    store: &S,
    settings: &DirectorySettings<V>,
    overwritten: watch::Receiver<Option<u64>>,
) {
    let (Some(own), Some(key)) = (&settings.own_entry, settings.own_key()) else {
        return;
    };
    let mut rewriting = Rewriting {
        store,
        key: &key,
        own_entry: own,
        overwritten,
        pause: FIRST_REWRITE_PAUSE,
    };
    loop {
        let Ok(lease) = write_listing(store, settings, &key, own).await else {
            sleep(settings.retry_pause).await;
            continue;
        };
        info!(key = key.as_str(), lease = lease.id; "own key listed in the store");
        rewriting.overwritten.mark_unchanged();
        // The lease is renewed in parallel with rewrites, whose pauses may be longer than the lease.
        tokio::select! {
            () = renew_while_valid(store, settings, lease) => {}
            () = rewriting.run(lease) => {}
        }
        warn!(key = key.as_str(); "the lease at the store has expired");
    }
}

/// Writes the own key again after another writer has changed or removed it.
struct Rewriting<'a, S> {
    store: &'a S,
    key: &'a str,
    own_entry: &'a OwnEntry,
    overwritten: watch::Receiver<Option<u64>>,
    pause: Duration,
}

impl<S: SharedStore> Rewriting<'_, S> {
    /// Writes the key again after each foreign change. Returns when the lease has expired.
    async fn run(&mut self, lease: SharedLease) {
        loop {
            if self.overwritten.changed().await.is_err() {
                // The directory is no longer followed, so the process is ending.
                return std::future::pending().await;
            }
            if self.overwritten.borrow_and_update().is_none() {
                continue;
            }
            sleep(self.pause).await;
            // The key may have changed again during the pause, so the newest revision is replaced.
            let Some(revision) = *self.overwritten.borrow_and_update() else {
                continue;
            };
            if self.write(lease, revision).await == Some(SharedWrite::LeaseOver) {
                return;
            }
        }
    }

    async fn write(&mut self, lease: SharedLease, revision: u64) -> Option<SharedWrite> {
        let key = self.key;
        warn!(key, revision; "the own key in the store was changed by another writer");
        self.pause = (self.pause * 2).min(MAX_REWRITE_PAUSE);
        let value = self.own_entry.value.as_bytes();
        let written = self.store.write_leased(key, value, lease, Some(revision));
        match written.await {
            Ok(written) => {
                // If the key was changed again before this write, the directory reports the change later.
                info!(key, written:?; "result of writing the own key again");
                Some(written)
            }
            Err(error) => {
                warn!(key, error:%; "the own key was not written");
                None
            }
        }
    }
}

/// Returns the revision at which another writer has changed the own key, 0 if the key was removed; `None` if the item
/// has the own value.
pub(super) fn foreign_revision(own: &OwnEntry, item: &SharedItem) -> Option<u64> {
    let is_own = item.value.as_deref() == Some(own.value.as_bytes());
    let revision = match item.is_gone() {
        true => 0,
        false => item.revision,
    };
    (!is_own).then_some(revision)
}

/// Requests a lease and writes the own key under it.
async fn write_listing<S: SharedStore, V>(
    store: &S,
    settings: &DirectorySettings<V>,
    key: &str,
    own_entry: &OwnEntry,
) -> Result<SharedLease, SharedStoreError> {
    let lease = store.grant(settings.lease_time).await?;
    loop {
        let value = own_entry.value.as_bytes();
        match store.write_leased(key, value, lease, None).await {
            Ok(SharedWrite::Done) => return Ok(lease),
            Ok(SharedWrite::LeaseOver | SharedWrite::Changed) => {
                return Err(SharedStoreError::HistoryGone);
            }
            // The write is idempotent, so it is repeated in case the first one had no effect.
            Err(SharedStoreError::NoAnswer { .. }) => sleep(settings.retry_pause).await,
            Err(error) => return Err(error),
        }
    }
}

/// Renews a lease after each third of its time. Returns when the lease has expired.
async fn renew_while_valid<S: SharedStore, V>(
    store: &S,
    settings: &DirectorySettings<V>,
    lease: SharedLease,
) {
    let renewal_interval = lease.time / 3;
    let mut pause = renewal_interval;
    loop {
        sleep(pause).await;
        pause = match store.renew(lease).await {
            Ok(true) => renewal_interval,
            Ok(false) => return,
            Err(_) => settings.retry_pause,
        };
    }
}
