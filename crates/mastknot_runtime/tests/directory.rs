//! The directory of entries through outages of the store, in paused time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mastknot_runtime::{
    Clock, DIRECTORY_WATCH_WAIT, Directory, DirectorySettings, KnownRevision, SharedChanges,
    SharedCheck, SharedItem, SharedLease, SharedList, SharedStore, SharedStoreError,
    keep_directory,
};
use tokio::sync::watch;
use tokio::time::sleep;

const PREFIX: &str = "entries/";

/// A store in memory that can be away and can remove keys.
#[derive(Clone, Default)]
struct MemoryStore(Arc<Mutex<MemoryState>>);

#[derive(Default)]
struct MemoryState {
    is_away: bool,
    /// Watches say nothing any more, other calls are answered.
    is_watch_silent: bool,
    revision: u64,
    items: BTreeMap<String, Vec<u8>>,
    changes: Vec<SharedItem>,
}

impl MemoryStore {
    fn set_away(&self, is_away: bool) {
        self.0.lock().unwrap().is_away = is_away;
    }

    fn change(&self, name: &str, value: Option<&str>) {
        let mut state = self.0.lock().unwrap();
        state.revision += 1;
        let key = format!("{PREFIX}{name}");
        let value = value.map(|value| value.as_bytes().to_vec());
        match &value {
            Some(value) => state.items.insert(key.clone(), value.clone()),
            None => state.items.remove(&key),
        };
        let revision = state.revision;
        state.changes.push(SharedItem {
            key,
            value,
            revision,
        });
    }

    fn check(&self) -> Result<(), SharedStoreError> {
        match self.0.lock().unwrap().is_away {
            true => Err(SharedStoreError::TurnedAway { status: 503 }),
            false => Ok(()),
        }
    }
}

impl SharedStore for MemoryStore {
    async fn read(&self, _: &str) -> Result<Option<SharedItem>, SharedStoreError> {
        self.check().map(|()| None)
    }

    async fn check(&self, _: &[KnownRevision]) -> Result<SharedCheck, SharedStoreError> {
        unreachable!("a directory is listed and watched")
    }

    async fn list(&self, _: &str) -> Result<SharedList, SharedStoreError> {
        self.check()?;
        let state = self.0.lock().unwrap();
        let items = state.items.iter().map(|(key, value)| SharedItem {
            key: key.clone(),
            value: Some(value.clone()),
            revision: state.revision,
        });
        Ok(SharedList {
            items: items.collect(),
            revision: state.revision,
        })
    }

    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<SharedChanges, SharedStoreError> {
        let mut waited = Duration::ZERO;
        loop {
            if self.0.lock().unwrap().is_watch_silent {
                std::future::pending::<()>().await;
            }
            self.check()?;
            let changes = self.changes_after(after);
            if !changes.items.is_empty() || waited >= wait {
                return Ok(changes);
            }
            sleep(Duration::from_millis(10)).await;
            waited += Duration::from_millis(10);
        }
    }

    async fn grant(&self, time: Duration) -> Result<SharedLease, SharedStoreError> {
        self.check().map(|()| SharedLease { id: 1, time })
    }

    async fn renew(&self, _: SharedLease) -> Result<bool, SharedStoreError> {
        self.check().map(|()| true)
    }

    async fn revoke(&self, _: SharedLease) -> Result<(), SharedStoreError> {
        self.check()
    }

    async fn write_leased(
        &self,
        _: &str,
        _: &[u8],
        _: SharedLease,
    ) -> Result<bool, SharedStoreError> {
        self.check().map(|()| true)
    }
}

impl MemoryStore {
    fn changes_after(&self, after: u64) -> SharedChanges {
        let state = self.0.lock().unwrap();
        let newer = state.changes.iter().filter(|item| item.revision > after);
        SharedChanges {
            items: newer.cloned().collect(),
            revision: state.revision,
        }
    }
}

fn follow(store: &MemoryStore) -> watch::Receiver<Directory> {
    let settings = DirectorySettings {
        prefix: PREFIX.to_owned(),
        own: None,
        lease_time: Duration::from_secs(6),
        watch_wait: DIRECTORY_WATCH_WAIT,
        retry_pause: Duration::from_millis(150),
        clock: Clock::start(),
    };
    let (sender, directory) = watch::channel(Directory::new());
    tokio::spawn(keep_directory(store.clone(), settings, sender));
    directory
}

async fn names_after(directory: &watch::Receiver<Directory>, ms: u64) -> Vec<String> {
    sleep(Duration::from_millis(ms)).await;
    directory.borrow().keys().cloned().collect()
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_is_removed_in_calm_is_gone_at_once() {
    let store = MemoryStore::default();
    store.change("a", Some("1"));
    store.change("b", Some("2"));
    let directory = follow(&store);
    assert_eq!(names_after(&directory, 100).await, ["a", "b"]);
    store.change("b", None);
    assert_eq!(names_after(&directory, 100).await, ["a"]);
}

#[tokio::test(start_paused = true)]
async fn an_entry_whose_lease_ran_out_in_an_outage_has_two_seconds_to_come_back() {
    let store = MemoryStore::default();
    store.change("a", Some("1"));
    store.change("b", Some("2"));
    let directory = follow(&store);
    assert_eq!(names_after(&directory, 100).await, ["a", "b"]);
    store.set_away(true);
    sleep(Duration::from_secs(8)).await;
    store.change("a", None);
    store.change("b", None);
    store.set_away(false);
    assert_eq!(names_after(&directory, 1_500).await, ["a", "b"]);
    store.change("a", Some("1"));
    assert_eq!(names_after(&directory, 2_000).await, ["a"]);
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_a_new_list_misses_after_an_outage_is_gone_after_two_seconds() {
    let store = MemoryStore::default();
    let directory = follow(&store);
    store.change("a", Some("1"));
    assert_eq!(names_after(&directory, 100).await, ["a"]);
    store.set_away(true);
    sleep(Duration::from_secs(60)).await;
    store.change("a", None);
    store.set_away(false);
    assert_eq!(names_after(&directory, 1_000).await, ["a"]);
    assert!(names_after(&directory, 2_000).await.is_empty());
}

/// The connection of the watch went silent without a reset: for 50 s no entry that came was known.
#[tokio::test(start_paused = true)]
async fn an_entry_is_known_within_eight_seconds_though_the_watch_is_silent_for_good() {
    let store = MemoryStore::default();
    store.change("a", Some("1"));
    let directory = follow(&store);
    assert_eq!(names_after(&directory, 100).await, ["a"]);
    store.0.lock().unwrap().is_watch_silent = true;
    sleep(Duration::from_millis(100)).await;
    store.change("b", Some("2"));
    assert_eq!(names_after(&directory, 8_000).await, ["a", "b"]);
}
