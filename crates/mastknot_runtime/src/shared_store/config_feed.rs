use std::time::Duration;

use log::{info, warn};
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::{SharedItem, SharedStore, SharedStoreError};

/// While the store is away its readers come again after up to so many times the first pause.
const LONGEST_PAUSE_FACTOR: u32 = 4;

/// What the configuration feed is set up with.
#[derive(Clone, Debug)]
pub struct ConfigFeedSettings {
    /// The key that holds the newest configuration.
    pub key: String,
    /// How long one watch waits; between two of them the key is checked.
    pub watch_wait: Duration,
    /// After a failed call; doubled up to four times this, with jitter.
    pub retry_pause: Duration,
}

/// Sends every value of the configuration's key that is read or heard of.
///
/// A watch tells of a change at once, but may hear nothing for a while, or wait on a connection that is dead.
/// So watches are short, and each is followed by a check that transfers the value only if it has changed:
/// a value of 350 KB that was read each second took a seventh of a link of 25 Mbit/s.
pub async fn feed_config<S: SharedStore>(
    store: S,
    settings: ConfigFeedSettings,
    values: mpsc::UnboundedSender<Vec<u8>>,
) {
    let mut feed = Feed {
        store,
        pause: settings.retry_pause,
        settings,
        values,
        known: 0,
        watched: 0,
        is_up: true,
    };
    while !feed.values.is_closed() {
        let is_checked = feed.check().await;
        let is_watched = feed.watch().await;
        if is_checked || is_watched {
            feed.pause = feed.settings.retry_pause;
        } else {
            feed.wait().await;
        }
    }
}

struct Feed<S> {
    store: S,
    settings: ConfigFeedSettings,
    values: mpsc::UnboundedSender<Vec<u8>>,
    /// The revision of the newest value that was sent on.
    known: u64,
    /// The store's revision up to which changes were heard, 0 if that is not known.
    watched: u64,
    is_up: bool,
    pause: Duration,
}

impl<S: SharedStore> Feed<S> {
    /// Reads the value if it has changed; returns whether the store answered.
    #[expect(
        clippy::disallowed_methods,
        reason = "how long a call took, for the log"
    )]
    async fn check(&mut self) -> bool {
        let asked = Instant::now();
        let result = self.store.check(&self.settings.key, self.known).await;
        let took_ms = asked.elapsed().as_millis() as u64;
        self.note_dependency(took_ms, result.as_ref().err());
        let Ok(check) = result else {
            return false;
        };
        self.watched = self.watched.max(check.revision);
        if let Some(item) = check.changed {
            self.send(item, "check", took_ms);
        }
        true
    }

    /// Waits for a change; returns whether the store answered.
    #[expect(
        clippy::disallowed_methods,
        reason = "how long a call took, for the log"
    )]
    async fn watch(&mut self) -> bool {
        if self.watched == 0 {
            return false;
        }
        let asked = Instant::now();
        let key = self.settings.key.clone();
        let wait = self.settings.watch_wait;
        let result = self.store.watch(&key, self.watched, wait).await;
        let took_ms = asked.elapsed().as_millis() as u64;
        match result {
            Ok(changes) => {
                self.watched = self.watched.max(changes.revision);
                let own = changes.items.into_iter().filter(|item| item.key == key);
                own.for_each(|item| self.send(item, "watch", took_ms));
                true
            }
            Err(SharedStoreError::HistoryGone) => {
                // The next check says from where to go on.
                self.watched = 0;
                true
            }
            Err(_) => false,
        }
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(self.pause.mul_f64(jitter)).await;
        let longest = self.settings.retry_pause * LONGEST_PAUSE_FACTOR;
        self.pause = (self.pause * 2).min(longest);
    }

    fn send(&mut self, item: SharedItem, by: &'static str, took_ms: u64) {
        if item.revision <= self.known {
            return;
        }
        self.known = item.revision;
        let Some(value) = item.value else {
            return;
        };
        let bytes = value.len();
        info!(by, bytes, took_ms, revision = self.known; "configuration read");
        // Nobody takes it only while the process ends.
        let _ = self.values.send(value);
    }

    /// One line at each loss and return of the store.
    fn note_dependency(&mut self, took_ms: u64, error: Option<&SharedStoreError>) {
        match (error, self.is_up) {
            (Some(error), true) => warn!(dependency = "store", took_ms, error:%; "lost"),
            (None, false) => info!(dependency = "store", took_ms; "regained"),
            _ => {}
        }
        self.is_up = error.is_none();
    }
}
