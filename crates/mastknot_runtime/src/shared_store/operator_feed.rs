use std::time::Duration;

use log::{info, warn};
use mastknot_core::types::Hall;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::drained_view::DrainedView;
use super::shares_view::SharesView;
use super::{
    KnownRevision, OperatorUpdate, SharedCheck, SharedItem, SharedList, SharedStore,
    SharedStoreError,
};

/// Maximum pause between two attempts to reach the store during an outage, as a multiple of the first pause.
const MAX_PAUSE_FACTOR: u32 = 4;
/// Maximum number of keys in one check, which is the limit of the platform's transactions.
const MAX_CHECKED: usize = 32;

/// Settings of the feed of operators' writes.
#[derive(Clone, Debug)]
pub struct OperatorFeedSettings {
    /// Prefix of all keys that operators write.
    pub prefix: String,
    /// Key of the configuration.
    pub config_key: String,
    /// Prefix of the keys of drained halls. The name of the hall follows.
    pub drained_prefix: String,
    /// Prefix of the keys with the shares of halls. The name of the hall follows.
    pub shares_prefix: String,
    /// Halls of the deployment. The keys of other halls are found by lists and watches, but not by checks.
    pub halls: Vec<Hall>,
    /// Maximum time for which one watch waits for a change. The keys are checked between two watches.
    pub watch_wait: Duration,
    /// First pause after a failed call. It doubles with each further failure, up to four times this value, and has
    /// jitter.
    pub retry_pause: Duration,
}

/// Sends updates of what operators write: each new configuration, the drained halls and the weights of halls.
///
/// A watch reports a change without delay, but it may miss changes or wait on a dead connection. Watches are therefore
/// short, and each is followed by a check. Configurations may be large, so a check transfers values only if something
/// has changed. The same check covers the keys of all halls, so that draining and weighting halls cost no further
/// calls.
pub async fn feed_operator_updates<S: SharedStore>(
    store: S,
    settings: OperatorFeedSettings,
    updates: mpsc::UnboundedSender<OperatorUpdate>,
) {
    let mut feed = Feed {
        store,
        pause: settings.retry_pause,
        drained: DrainedView::new(settings.drained_prefix.clone()),
        shares: SharesView::new(settings.shares_prefix.clone()),
        settings,
        updates,
        config_revision: 0,
        known_revision: 0,
        is_list_due: true,
        is_shares_list_due: false,
        is_store_up: true,
    };
    while !feed.updates.is_closed() {
        let is_read = feed.read().await;
        let is_watched = feed.has_config() && feed.watch().await;
        if is_read || is_watched {
            feed.pause = feed.settings.retry_pause;
        } else {
            feed.wait().await;
        }
    }
}

struct Feed<S> {
    store: S,
    settings: OperatorFeedSettings,
    updates: mpsc::UnboundedSender<OperatorUpdate>,
    /// Revision of the newest configuration that was sent.
    config_revision: u64,
    drained: DrainedView,
    shares: SharesView,
    /// Revision of the store up to which changes are known, and from which the next watch starts; 0 if unknown.
    known_revision: u64,
    /// Whether the drained halls have to be listed, because none are known yet or a change was missed.
    is_list_due: bool,
    /// Whether the shares of halls have to be listed, because a check has found a change.
    is_shares_list_due: bool,
    is_store_up: bool,
    pause: Duration,
}

impl<S: SharedStore> Feed<S> {
    /// Returns whether a configuration has been read. Until then, a watch would only delay the next check.
    fn has_config(&self) -> bool {
        self.config_revision > 0
    }

    /// Checks the keys and reads those that have changed; returns whether the store answered.
    #[expect(
        clippy::disallowed_methods,
        reason = "the log reports how long a call took"
    )]
    async fn read(&mut self) -> bool {
        let started_at = Instant::now();
        let known = self.known_revisions();
        let result = match self.is_list_due {
            true => self.list_drained_and_check(&known).await,
            false => self.store.check(&known).await,
        };
        let took_ms = started_at.elapsed().as_millis() as u64;
        self.log_store_availability(took_ms, result.as_ref().err());
        let Ok(check) = result else {
            return false;
        };
        self.is_list_due |= self.has_missed_drained(&known, &check.items);
        self.is_shares_list_due |= self.has_missed_shares(&known, &check.items);
        let config = check.items.into_iter();
        let config = config.filter(|item| item.key == self.settings.config_key);
        let config: Vec<SharedItem> = config.collect();
        if self.is_shares_list_due
            && let Err(error) = self.list_shares().await
        {
            // Weights are only a preference, so a failure must not delay the configuration. They are listed after the
            // next check.
            warn!(error:%; "shares of halls could not be read");
        }
        // Missed changes of drained halls are read before a configuration that the same check found takes effect.
        if self.is_list_due && self.list().await.is_err() {
            return false;
        }
        config
            .into_iter()
            .for_each(|item| self.send_config(item, "check", took_ms));
        true
    }

    async fn list_drained_and_check(
        &mut self,
        known: &[KnownRevision],
    ) -> Result<SharedCheck, SharedStoreError> {
        let (list, check) = tokio::join!(
            self.store.list(&self.settings.drained_prefix),
            self.store.check(known)
        );
        self.apply_drained_list(list?);
        // The list is current for the drained halls, so what the check found about their keys is not a missed change.
        let mut check = check?;
        let config_key = &self.settings.config_key;
        let shares = &self.shares;
        check
            .items
            .retain(|item| item.key == *config_key || shares.has_key(&item.key));
        Ok(check)
    }

    async fn list(&mut self) -> Result<(), SharedStoreError> {
        let list = self.store.list(&self.settings.drained_prefix).await?;
        self.apply_drained_list(list);
        Ok(())
    }

    /// Lists the shares of halls. This happens only after a check has found a change, so that unchanged shares cost no
    /// calls.
    async fn list_shares(&mut self) -> Result<(), SharedStoreError> {
        let list = self.store.list(&self.settings.shares_prefix).await?;
        self.is_shares_list_due = false;
        if self.shares.replace(list) {
            self.send_shares("list");
        }
        Ok(())
    }

    fn apply_drained_list(&mut self, list: SharedList) {
        self.is_list_due = false;
        self.known_revision = self.known_revision.max(list.revision);
        if self.drained.replace(list) {
            self.send_drained("list");
        }
    }

    /// Returns the keys to check, with their known revisions.
    fn known_revisions(&self) -> Vec<KnownRevision> {
        let config = KnownRevision {
            key: self.settings.config_key.clone(),
            revision: self.config_revision,
        };
        let halls = self.drained.keys_of(&self.settings.halls);
        let halls = halls
            .into_iter()
            .map(|(key, revision)| KnownRevision { key, revision });
        let shares = self.shares.keys_of(&self.settings.halls);
        let all = std::iter::once(config).chain(halls).chain(shares);
        all.take(MAX_CHECKED).collect()
    }

    /// Returns whether a check has found a change of a key that drains a hall. A key that a check with results does
    /// not name counts as absent.
    fn has_missed_drained(&self, known: &[KnownRevision], found: &[SharedItem]) -> bool {
        let mut halls = known.iter().filter(|known| {
            known.key != self.settings.config_key && !self.shares.has_key(&known.key)
        });
        !found.is_empty() && halls.any(|known| is_changed(known, found))
    }

    /// Returns whether a check has found a change in the key of a hall's share.
    fn has_missed_shares(&self, known: &[KnownRevision], found: &[SharedItem]) -> bool {
        let mut shares = known.iter().filter(|known| self.shares.has_key(&known.key));
        !found.is_empty() && shares.any(|known| is_changed(known, found))
    }

    /// Waits for changes and sends them; returns whether the store answered.
    #[expect(
        clippy::disallowed_methods,
        reason = "the log reports how long a call took"
    )]
    async fn watch(&mut self) -> bool {
        if self.known_revision == 0 {
            return false;
        }
        let started_at = Instant::now();
        let prefix = self.settings.prefix.clone();
        let wait = self.settings.watch_wait;
        let result = self.store.watch(&prefix, self.known_revision, wait).await;
        let took_ms = started_at.elapsed().as_millis() as u64;
        match result {
            Ok(changes) => {
                self.known_revision = self.known_revision.max(changes.revision);
                self.apply_changes(changes.items, took_ms);
                true
            }
            Err(SharedStoreError::HistoryGone) => {
                // The next list has the revision from which the next watch starts.
                self.known_revision = 0;
                self.is_list_due = true;
                true
            }
            Err(_) => false,
        }
    }

    fn apply_changes(&mut self, items: Vec<SharedItem>, took_ms: u64) {
        let mut has_drained = false;
        let mut has_shares = false;
        for item in &items {
            has_drained |= self.drained.apply(item);
            has_shares |= self.shares.apply(item);
        }
        if has_shares {
            self.send_shares("watch");
        }
        if has_drained {
            self.send_drained("watch");
        }
        let config = items
            .into_iter()
            .filter(|item| item.key == self.settings.config_key);
        let config: Vec<SharedItem> = config.collect();
        config
            .into_iter()
            .for_each(|item| self.send_config(item, "watch", took_ms));
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(self.pause.mul_f64(jitter)).await;
        let longest = self.settings.retry_pause * MAX_PAUSE_FACTOR;
        self.pause = (self.pause * 2).min(longest);
    }

    fn send_config(&mut self, item: SharedItem, by: &'static str, took_ms: u64) {
        if item.revision <= self.config_revision {
            return;
        }
        self.config_revision = item.revision;
        let Some(value) = item.value else {
            return;
        };
        let bytes = value.len();
        info!(by, bytes, took_ms, revision = self.config_revision; "configuration read");
        self.send(OperatorUpdate::Config(value));
    }

    fn send_drained(&mut self, by: &'static str) {
        let drained = self.drained.current();
        info!(by, halls = drained.halls.len(), revision = drained.revision; "drained halls read");
        self.send(OperatorUpdate::DrainedHalls(drained));
    }

    fn send_shares(&mut self, by: &'static str) {
        let refused = self.shares.take_refused();
        if refused > 0 {
            self.send(OperatorUpdate::BadShareWeights(refused));
        }
        let weights = self.shares.current();
        info!(by, halls = weights.halls.len(), revision = weights.revision; "weights of halls read");
        self.send(OperatorUpdate::ShareWeights(weights));
    }

    fn send(&self, update: OperatorUpdate) {
        // The receiver is gone only while the process ends.
        let _ = self.updates.send(update);
    }

    /// Logs when the store becomes unreachable and when it answers again.
    fn log_store_availability(&mut self, took_ms: u64, error: Option<&SharedStoreError>) {
        match (error, self.is_store_up) {
            (Some(error), true) => warn!(dependency = "store", took_ms, error:%; "lost"),
            (None, false) => info!(dependency = "store", took_ms; "regained"),
            _ => {}
        }
        self.is_store_up = error.is_none();
    }
}

/// Returns whether the results of a check show another revision of a key than the known one. A key that the results
/// do not name does not exist.
fn is_changed(known: &KnownRevision, found: &[SharedItem]) -> bool {
    let item = found.iter().find(|item| item.key == known.key);
    let present = item.filter(|item| !item.is_gone());
    present.map_or(0, |item| item.revision) != known.revision
}
