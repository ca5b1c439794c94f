//! Keeps what entries learn in the store, and reads it when a process starts.
//!
//! Nothing waits for it: a store that is away delays no job, and what it holds is only a belief.

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

/// Between two looks at what is new: a kind that crashes targets is written well before the next process is lost.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// What the keeper of learned beliefs is set up with.
#[derive(Clone, Debug)]
pub struct ProfileSettings {
    /// The document's key.
    pub key: String,
    /// The process's clock.
    pub clock: Clock,
    /// Takes what becomes of reads and writes.
    pub counts: ProfileCounts,
}

/// Reads the document once, and writes it when it is this process's turn and worth it.
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
        keeper.look().await;
        // Processes that start together do not look together for long.
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(LOOK_INTERVAL.mul_f64(jitter)).await;
    }
}

struct Keeper<S, H> {
    store: S,
    holder: H,
    settings: ProfileSettings,
    ledger: ProfileLedger,
}

impl<S: PersistentStore, H: ProfileHolder> Keeper<S, H> {
    async fn look(&mut self) {
        let offer = match self.ledger.must_read() {
            true => None,
            false => self.holder.offer(self.ledger.known().cloned()).await,
        };
        match self.ledger.next(self.now(), offer) {
            Ok(Some(ProfileCall::Read)) => self.read().await,
            Ok(Some(ProfileCall::Write { value, expected })) => self.write(&value, expected).await,
            Ok(None) => {}
            Err(error) => self.note_unusable("not_written", &error),
        }
    }

    async fn read(&mut self) {
        let result = self.store.read(&self.settings.key).await;
        let now = self.now();
        let item = match result {
            Ok(item) => item,
            Err(error) => {
                self.ledger.record_read_failure(now);
                self.note("read", "no_result");
                warn!(error:%; "what was learned can't be read yet");
                return;
            }
        };
        let present = item.as_ref().and_then(present);
        match self.ledger.record_read(now, present) {
            ProfileRead::Absent => self.note("read", "absent"),
            ProfileRead::Known => self.note("read", "known"),
            ProfileRead::Update(profile) => {
                self.note("read", "news");
                self.holder.take(Arc::clone(&profile)).await;
            }
            ProfileRead::NotTaken(error) => self.note_unusable("not_taken", &error),
        }
    }

    async fn write(&mut self, value: &[u8], expected: u64) {
        let result = self.store.write(&self.settings.key, value, expected).await;
        let now = self.now();
        let bytes = value.len();
        let write = match result {
            Ok(PersistentWrite::Done { revision }) => {
                self.note("written", "");
                info!(bytes, revision; "what was learned is written");
                ProfileWrite::Done { revision }
            }
            Ok(PersistentWrite::Changed) => {
                self.note("refused", "");
                info!(bytes, expected; "what was learned was written by another meanwhile");
                ProfileWrite::Changed
            }
            Err(error) => {
                warn!(bytes, error:%; "what was learned is not known to be written");
                self.without_result(&error)
            }
        };
        self.ledger.record_write(now, write);
    }

    fn without_result(&self, error: &SharedStoreError) -> ProfileWrite {
        let (cause, write) = match error {
            SharedStoreError::TurnedAway { .. } => ("turned_away", ProfileWrite::TurnedAway),
            _ => ("unanswered", ProfileWrite::Unanswered),
        };
        self.note("not_written", cause);
        write
    }

    fn note_unusable(&self, event: &'static str, error: &ProfileError) {
        self.note(event, error.cause());
        warn!(event, error:%; "the document of what was learned can't be used");
    }

    fn note(&self, event: &'static str, cause: &'static str) {
        self.settings.counts.note(event, cause);
    }

    fn now(&self) -> Moment {
        self.settings.clock.monotonic()
    }
}

/// An item that is there.
fn present(item: &SharedItem) -> Option<(u64, &[u8])> {
    let value = item.value.as_deref()?;
    Some((item.revision, value))
}
