use std::collections::BTreeMap;
use std::time::Duration;

use log::warn;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use super::directory_view::{DirectoryView, Listed};
use super::own_listing::{foreign_revision, keep_listed};
use super::{DirectorySettings, SharedItem, SharedStore, SharedStoreError};

/// Usual time for which a watch of the entries waits for a change. A connection that has failed silently looks like
/// a watch without changes until the watch should have ended, so the list is read again after twice this time.
pub const DIRECTORY_WATCH_WAIT: Duration = Duration::from_secs(4);

/// Names and values of the listed entries.
pub type Directory<V> = BTreeMap<String, V>;

/// Keeps this process listed, if the settings say so, and publishes the directory of all entries whenever it changes.
pub async fn keep_directory<S, V>(
    store: S,
    settings: DirectorySettings<V>,
    directory: watch::Sender<Directory<V>>,
) where
    S: SharedStore,
    V: Clone + PartialEq,
{
    let (foreign_revision_sender, foreign_revisions) = watch::channel(None);
    let listed = keep_listed(&store, &settings, foreign_revisions);
    let follower = Follower {
        store: &store,
        settings: &settings,
        directory: &directory,
        foreign_revision_sender: &foreign_revision_sender,
        view: DirectoryView::default(),
    };
    tokio::join!(listed, follower.follow());
}

/// Converts a list of keys to a directory. Values that can't be read are left out.
pub fn read_directory<V>(
    prefix: &str,
    items: &[SharedItem],
    read: fn(&[u8]) -> Option<V>,
) -> Directory<V> {
    let named = items.iter().filter_map(|item| {
        let name = item.key.strip_prefix(prefix)?.to_owned();
        match listed_value(item, read) {
            Listed::Value(value) => Some((name, value)),
            Listed::Unreadable | Listed::Gone => None,
        }
    });
    named.collect()
}

fn listed_value<V>(item: &SharedItem, read: fn(&[u8]) -> Option<V>) -> Listed<V> {
    let Some(bytes) = &item.value else {
        return Listed::Gone;
    };
    match read(bytes) {
        Some(value) => Listed::Value(value),
        None => {
            warn!(key = item.key.as_str(), bytes = bytes.len(), revision = item.revision;
                "the value of a listed entry can't be read, its last known value stays in effect");
            Listed::Unreadable
        }
    }
}

struct Follower<'a, S, V> {
    store: &'a S,
    settings: &'a DirectorySettings<V>,
    directory: &'a watch::Sender<Directory<V>>,
    foreign_revision_sender: &'a watch::Sender<Option<u64>>,
    view: DirectoryView<V>,
}

impl<S: SharedStore, V: Clone + PartialEq> Follower<'_, S, V> {
    /// Lists the entries and follows their changes, again and again.
    async fn follow(mut self) {
        loop {
            let Ok(list) = self.store.list(&self.settings.prefix).await else {
                self.view.record_failure();
                sleep(self.settings.retry_pause).await;
                continue;
            };
            let now = self.settings.clock.monotonic();
            self.view.record_success(now);
            list.items
                .iter()
                .for_each(|item| self.notify_own_change(item));
            let listed = list.items.iter().filter_map(|item| self.decode(item));
            let listed = listed.collect();
            self.view.replace(now, listed);
            self.publish();
            self.follow_from(list.revision).await;
        }
    }

    /// Follows the changes after a revision until the next list is due.
    async fn follow_from(&mut self, mut after: u64) {
        // A watch without changes does not prove that nothing has changed, so the list is read again from time to time.
        let clock = &self.settings.clock;
        let ends = clock.monotonic() + self.settings.watch_wait * 2;
        while clock.monotonic() < ends {
            let settings = self.settings;
            let watched = self
                .store
                .watch(&settings.prefix, after, settings.watch_wait);
            let next_change = async {
                match self.view.next_expiry() {
                    Some(at) => sleep_until(clock.instant(at.min(ends))).await,
                    None => sleep_until(clock.instant(ends)).await,
                }
            };
            let result = tokio::select! {
                result = watched => Some(result),
                () = next_change => None,
            };
            let now = clock.monotonic();
            match result {
                Some(Ok(changes)) => {
                    self.view.record_success(now);
                    after = after.max(changes.revision);
                    for item in &changes.items {
                        self.notify_own_change(item);
                        if let Some((name, value)) = self.decode(item) {
                            self.view.apply(now, name, value);
                        }
                    }
                }
                Some(Err(SharedStoreError::HistoryGone)) => return,
                Some(Err(_)) => {
                    self.view.record_failure();
                    sleep(self.settings.retry_pause).await;
                }
                None => {}
            }
            self.view.expire(clock.monotonic());
            self.publish();
        }
    }

    fn decode(&self, item: &SharedItem) -> Option<(String, Listed<V>)> {
        let name = item.key.strip_prefix(&self.settings.prefix)?;
        Some((name.to_owned(), listed_value(item, self.settings.read)))
    }

    /// Notifies the task that keeps this process listed if another writer has changed its item.
    fn notify_own_change(&self, item: &SharedItem) {
        let (Some(own), Some(key)) = (&self.settings.own_entry, self.settings.own_key()) else {
            return;
        };
        if item.key == key {
            self.foreign_revision_sender
                .send_replace(foreign_revision(own, item));
        }
    }

    /// Publishes the directory if it has changed.
    fn publish(&self) {
        let entries = self.view.entries();
        self.directory.send_if_modified(|held| {
            if held == entries {
                return false;
            }
            *held = entries.clone();
            true
        });
    }
}
