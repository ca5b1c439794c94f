//! Keeps the profile that entries learn in the store, and reads it when a process starts.
//!
//! Nothing waits for the profile: it holds only priors, so jobs are not delayed while the store is unavailable.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use mastknot_core::job::ProfileError;
use mastknot_core::profile::{ProfileCall, ProfileLedger, ProfileRead, ProfileWrite};
use mastknot_core::types::Moment;
use rand::RngExt;
use tokio::time::sleep;

use super::{
    PersistentStore, PersistentWrite, ProfileCounts, ProfileHolder, SharedItem, SharedStoreError,
};
use crate::Clock;

/// Interval between two comparisons of the own profile with the stored one. It is short enough that a kind of task
/// that crashes targets is written well before the next process is lost.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the keeper of the learned profile.
#[derive(Clone, Debug)]
pub struct ProfileSettings {
    /// Key of the document with the profile.
    pub key: String,
    /// Clock of the process.
    pub clock: Clock,
    /// Counter of reads and writes by result.
    pub counts: ProfileCounts,
}

/// Reads the document once, and writes it when the profile has changed enough and it is this process's turn.
pub async fn keep_profile<S: PersistentStore, H: ProfileHolder>(
    store: S,
    holder: H,
    settings: ProfileSettings,
) {
    let mut keeper = Keeper {
        store,
        holder,
        settings,
        ledger: ProfileLedger::default(),
    };
    loop {
        keeper.sync().await;
        // Jitter keeps processes that started together from calling the store at the same time.
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(SYNC_INTERVAL.mul_f64(jitter)).await;
    }
}

struct Keeper<S, H> {
    store: S,
    holder: H,
    settings: ProfileSettings,
    ledger: ProfileLedger,
}

impl<S: PersistentStore, H: ProfileHolder> Keeper<S, H> {
    /// Reads the stored profile, or writes the own one, if one of these is due.
    async fn sync(&mut self) {
        let offer = match self.ledger.must_read() {
            true => None,
            false => self.holder.offer(self.ledger.known().cloned()).await,
        };
        match self.ledger.next(self.now(), offer) {
            Ok(Some(ProfileCall::Read)) => self.read().await,
            Ok(Some(ProfileCall::Write { value, expected })) => self.write(&value, expected).await,
            Ok(None) => {}
            Err(error) => self.record_unusable("not_written", &error),
        }
    }

    async fn read(&mut self) {
        let result = self.store.read(&self.settings.key).await;
        let now = self.now();
        let item = match result {
            Ok(item) => item,
            Err(error) => {
                self.ledger.record_read_failure(now);
                self.record("read", "no_result");
                warn!(error:%; "the learned profile could not be read");
                return;
            }
        };
        let present = item.as_ref().and_then(present);
        match self.ledger.record_read(now, present) {
            ProfileRead::Absent => self.record("read", "absent"),
            ProfileRead::Known => self.record("read", "known"),
            ProfileRead::Update(profile) => {
                self.record("read", "news");
                self.holder.take(Arc::clone(&profile)).await;
            }
            ProfileRead::NotTaken(error) => self.record_unusable("not_taken", &error),
        }
    }

    async fn write(&mut self, value: &[u8], expected: u64) {
        let result = self.store.write(&self.settings.key, value, expected).await;
        let now = self.now();
        let bytes = value.len();
        let write = match result {
            Ok(PersistentWrite::Done { revision }) => {
                self.record("written", "");
                info!(bytes, revision; "the learned profile was written");
                ProfileWrite::Done { revision }
            }
            Ok(PersistentWrite::Changed) => {
                self.record("refused", "");
                info!(bytes, expected; "the learned profile was not written, another process has written it meanwhile");
                ProfileWrite::Changed
            }
            Err(error) => {
                warn!(bytes, error:%; "the learned profile may not have been written");
                self.record_failed_write(&error)
            }
        };
        self.ledger.record_write(now, write);
    }

    /// Records a write whose result is unknown or that the store refused.
    fn record_failed_write(&self, error: &SharedStoreError) -> ProfileWrite {
        let (cause, write) = match error {
            SharedStoreError::TurnedAway { .. } => ("turned_away", ProfileWrite::TurnedAway),
            _ => ("unanswered", ProfileWrite::Unanswered),
        };
        self.record("not_written", cause);
        write
    }

    fn record_unusable(&self, event: &'static str, error: &ProfileError) {
        self.record(event, error.cause());
        warn!(event, error:%; "the learned profile can't be used");
    }

    fn record(&self, event: &'static str, cause: &'static str) {
        self.settings.counts.record(event, cause);
    }

    fn now(&self) -> Moment {
        self.settings.clock.monotonic()
    }
}

/// Returns the revision and the value of an item, if its key exists.
fn present(item: &SharedItem) -> Option<(u64, &[u8])> {
    let value = item.value.as_deref()?;
    Some((item.revision, value))
}
