//! Directory of entries during outages of the store, in paused time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mastknot_runtime::{
    Clock, DIRECTORY_WATCH_WAIT, Directory, DirectorySettings, KnownRevision, OwnEntry,
    SharedChanges, SharedCheck, SharedItem, SharedLease, SharedList, SharedStore, SharedStoreError,
    SharedWrite, keep_directory,
};
use tokio::sync::watch;
use tokio::time::sleep;

const PREFIX: &str = "entries/";

/// Store in memory that can be unavailable and can change keys as other writers do.
#[derive(Clone, Default)]
struct MemoryStore(Arc<Mutex<MemoryState>>);

#[derive(Default)]
struct MemoryState {
    is_unavailable: bool,
    /// Whether watches stay without an answer. Other calls are answered.
    is_watch_silent: bool,
    /// Number of writes by the process under test.
    own_writes: usize,
    renewals: usize,
    revision: u64,
    items: BTreeMap<String, Vec<u8>>,
    changes: Vec<SharedItem>,
}

impl MemoryStore {
    fn set_unavailable(&self, is_unavailable: bool) {
        self.0.lock().unwrap().is_unavailable = is_unavailable;
    }

    fn change(&self, name: &str, value: Option<&str>) {
        self.put(name, value.map(str::as_bytes));
    }

    /// Returns the revision of a key, or 0 if the key does not exist.
    fn newest_of(&self, key: &str) -> u64 {
        let state = self.0.lock().unwrap();
        let newest = state.changes.iter().rev().find(|item| item.key == key);
        newest.map_or(0, |item| if item.is_gone() { 0 } else { item.revision })
    }

    fn put(&self, name: &str, value: Option<&[u8]>) {
        let mut state = self.0.lock().unwrap();
        state.revision += 1;
        let key = format!("{PREFIX}{name}");
        let value = value.map(<[u8]>::to_vec);
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
        match self.0.lock().unwrap().is_unavailable {
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
        self.0.lock().unwrap().renewals += 1;
        self.check().map(|()| true)
    }

    async fn revoke(&self, _: SharedLease) -> Result<(), SharedStoreError> {
        self.check()
    }

    async fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        _: SharedLease,
        expected: Option<u64>,
    ) -> Result<SharedWrite, SharedStoreError> {
        self.check()?;
        let newest = self.newest_of(key);
        if expected.is_some_and(|expected| expected != newest) {
            return Ok(SharedWrite::Changed);
        }
        self.0.lock().unwrap().own_writes += 1;
        let name = key.strip_prefix(PREFIX).unwrap();
        self.put(name, Some(value));
        Ok(SharedWrite::Done)
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

/// Parses a value, which is a decimal number.
fn read(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn follow(store: &MemoryStore) -> watch::Receiver<Directory<u64>> {
    keep(store, None)
}

fn keep(store: &MemoryStore, own: Option<OwnEntry>) -> watch::Receiver<Directory<u64>> {
    let settings = DirectorySettings {
        prefix: PREFIX.to_owned(),
        own_entry: own,
        read,
        lease_time: Duration::from_secs(6),
        watch_wait: DIRECTORY_WATCH_WAIT,
        retry_pause: Duration::from_millis(150),
        clock: Clock::start(),
    };
    let (sender, directory) = watch::channel(Directory::new());
    tokio::spawn(keep_directory(store.clone(), settings, sender));
    directory
}

async fn names_after(directory: &watch::Receiver<Directory<u64>>, ms: u64) -> Vec<String> {
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
    store.set_unavailable(true);
    sleep(Duration::from_secs(8)).await;
    store.change("a", None);
    store.change("b", None);
    store.set_unavailable(false);
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
    store.set_unavailable(true);
    sleep(Duration::from_secs(60)).await;
    store.change("a", None);
    store.set_unavailable(false);
    assert_eq!(names_after(&directory, 1_000).await, ["a"]);
    assert!(names_after(&directory, 2_000).await.is_empty());
}

/// The connection of the watch goes silent without a reset. Without a limit, no new entry was found for 50 s.
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

/// Another writer replaces the value of a listed entry with bytes that can't be read.
#[tokio::test(start_paused = true)]
async fn a_value_that_cannot_be_read_takes_nothing_from_what_is_known() {
    let store = MemoryStore::default();
    store.change("a", Some("1"));
    store.change("b", Some("2"));
    let directory = follow(&store);
    assert_eq!(names_after(&directory, 100).await, ["a", "b"]);
    store.put("a", Some(&[0xff, 0xfe]));
    store.change("b", Some("no number"));
    store.change("c", Some(""));
    store.put("d", Some(&vec![b'1'; 1 << 20]));
    store.change("e", Some("5"));
    assert_eq!(names_after(&directory, 100).await, ["a", "b", "e"]);
    // A new list gives the same result.
    assert_eq!(names_after(&directory, 20_000).await, ["a", "b", "e"]);
    assert_eq!(directory.borrow()["a"], 1);
    store.change("a", None);
    assert_eq!(names_after(&directory, 100).await, ["b", "e"]);
}

fn own_entry() -> Option<OwnEntry> {
    Some(OwnEntry {
        name: "own".to_owned(),
        value: "7".to_owned(),
    })
}

#[tokio::test(start_paused = true)]
async fn the_own_key_is_written_again_after_another_writer_changed_or_removed_it() {
    let store = MemoryStore::default();
    let directory = keep(&store, own_entry());
    assert_eq!(names_after(&directory, 500).await, ["own"]);
    for foreign in [Some("13"), Some("rubbish"), None] {
        store.change("own", foreign);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(directory.borrow()["own"], 7, "after {foreign:?}");
    }
}

/// Another writer changes the key again and again, so the pauses before it is written back must grow.
#[tokio::test(start_paused = true)]
async fn two_writers_of_one_key_do_not_fight_without_end() {
    let store = MemoryStore::default();
    let _directory = keep(&store, own_entry());
    sleep(Duration::from_millis(500)).await;
    for _ in 0..2_000 {
        store.change("own", Some("13"));
        sleep(Duration::from_millis(100)).await;
    }
    let writes = store.0.lock().unwrap().own_writes;
    assert!((5..=16).contains(&writes), "{writes} writes in 200 s");
    // The lease of 6 s is renewed every 2 s, however long a rewrite waits. A rewrite that blocks renewals would leave
    // none in 200 s.
    let renewals = store.0.lock().unwrap().renewals;
    assert!(renewals >= 95, "{renewals} renewals in 200 s");
}
