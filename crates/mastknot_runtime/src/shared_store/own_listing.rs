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
    overwritten: watch::Receiver<Option<u64>>,
) {
    let (Some(own), Some(key)) = (&settings.own, settings.own_key()) else {
        return;
    };
    let mut rewriting = Rewriting {
        store,
        key: &key,
        own,
        overwritten,
        pause: FIRST_REWRITE_PAUSE,
    };
    loop {
        let Ok(lease) = list_self(store, settings, &key, own).await else {
            sleep(settings.retry_pause).await;
            continue;
        };
        info!(key = key.as_str(), lease = lease.id; "listed in the store");
        rewriting.overwritten.mark_unchanged();
        // The lease is renewed also while a rewrite waits: its pause may be longer than the lease.
        tokio::select! {
            () = renew_while_valid(store, settings, lease) => {}
            () = rewriting.run(lease) => {}
        }
        warn!(key = key.as_str(); "the lease at the store is over");
    }
}

/// Writes the own key again where another writer has changed or removed it.
struct Rewriting<'a, S> {
    store: &'a S,
    key: &'a str,
    own: &'a OwnEntry,
    overwritten: watch::Receiver<Option<u64>>,
    pause: Duration,
}

impl<S: SharedStore> Rewriting<'_, S> {
    /// Goes on until the lease is over.
    async fn run(&mut self, lease: SharedLease) {
        loop {
            if self.overwritten.changed().await.is_err() {
                // Nobody looks at the directory any more: the process ends.
                return std::future::pending().await;
            }
            if self.overwritten.borrow_and_update().is_none() {
                continue;
            }
            sleep(self.pause).await;
            // What was written last meanwhile is what is replaced.
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
        self.pause = (self.pause * 2).min(LONGEST_REWRITE_PAUSE);
        let value = self.own.value.as_bytes();
        let written = self.store.write_leased(key, value, lease, Some(revision));
        match written.await {
            Ok(written) => {
                // What has come in between is seen by the next look at the directory.
                info!(key, written:?; "the own key was written again");
                Some(written)
            }
            Err(error) => {
                warn!(key, error:%; "the own key was not written");
                None
            }
        }
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
