use std::collections::BTreeMap;
use std::time::Duration;

use log::warn;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use super::directory_view::{DirectoryView, Listed};
use super::own_listing::{foreign_revision, keep_listed};
use super::{DirectorySettings, SharedItem, SharedStore, SharedStoreError};

/// How long a watch of the entries usually waits. A connection may go silent for good, and a watch that has
/// nothing to say is silent too: only the answer at its end tells them apart. The list is read anew after two
/// such times.
pub const DIRECTORY_WATCH_WAIT: Duration = Duration::from_secs(4);

/// The listed entries: their names and values.
pub type Directory<V> = BTreeMap<String, V>;

/// Keeps the own entry listed and the directory of all entries current.
pub async fn keep_directory<S, V>(
    store: S,
    settings: DirectorySettings<V>,
    directory: watch::Sender<Directory<V>>,
) where
    S: SharedStore,
    V: Clone + PartialEq,
{
    let (overwritten, seen) = watch::channel(None);
    let listed = keep_listed(&store, &settings, seen);
    let follower = Follower {
        store: &store,
        settings: &settings,
        directory: &directory,
        overwritten: &overwritten,
        view: DirectoryView::default(),
    };
    tokio::join!(listed, follower.follow());
}

/// Reads a list of the directory once; values that can't be read are left out.
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
                "a listed entry can't be read, what was known of it holds on");
            Listed::Unreadable
        }
    }
}

struct Follower<'a, S, V> {
    store: &'a S,
    settings: &'a DirectorySettings<V>,
    directory: &'a watch::Sender<Directory<V>>,
    overwritten: &'a watch::Sender<Option<u64>>,
    view: DirectoryView<V>,
}

impl<S: SharedStore, V: Clone + PartialEq> Follower<'_, S, V> {
    async fn follow(mut self) {
        loop {
            let Ok(list) = self.store.list(&self.settings.prefix).await else {
                self.view.note_failure();
                sleep(self.settings.retry_pause).await;
                continue;
            };
            let now = self.settings.clock.monotonic();
            self.view.note_success(now);
            list.items.iter().for_each(|item| self.note_own(item));
            let listed = list.items.iter().filter_map(|item| self.decode(item));
            let listed = listed.collect();
            self.view.replace(now, listed);
            self.publish();
            self.follow_from(list.revision).await;
        }
    }

    async fn follow_from(&mut self, mut after: u64) {
        // A watch that has been quiet for long is no proof: list again now and then.
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
                    self.view.note_success(now);
                    after = after.max(changes.revision);
                    for item in &changes.items {
                        self.note_own(item);
                        if let Some((name, value)) = self.decode(item) {
                            self.view.apply(now, name, value);
                        }
                    }
                }
                Some(Err(SharedStoreError::HistoryGone)) => return,
                Some(Err(_)) => {
                    self.view.note_failure();
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

    /// Tells whoever keeps the own entry listed what another writer has made of it.
    fn note_own(&self, item: &SharedItem) {
        let (Some(own), Some(key)) = (&self.settings.own, self.settings.own_key()) else {
            return;
        };
        if item.key == key {
            self.overwritten.send_replace(foreign_revision(own, item));
        }
    }

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
