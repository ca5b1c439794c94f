//! Keeping the learned profile in a store that loses answers, is unavailable at times and has other writers, in paused
//! time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mastknot_core::job::{LearnedProfile, LearnedSlowdown, LearnedSuspect, TaskKind};
use mastknot_core::profile::{ProfileOffer, ProfileUpdate, profile_update};
use mastknot_core::types::Hall;
use mastknot_runtime::{
    Clock, DIRECTORY_WATCH_WAIT, Directory, DirectorySettings, KnownRevision, OperatorFeedSettings,
    OwnEntry, PersistentStore, PersistentWrite, ProfileCounts, ProfileHolder, ProfileSettings,
    SharedChanges, SharedCheck, SharedItem, SharedLease, SharedList, SharedStore, SharedStoreError,
    SharedWrite, feed_operator_updates, keep_directory, keep_profile,
};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

const KEY: &str = "system/learned";
/// Wall time at the start of a test, in Unix milliseconds. It advances with the paused clock.
const WRITTEN: u64 = 1_700_000_000_000;
const HOUR: Duration = Duration::from_secs(60 * 60);
const RETRY_PAUSE: Duration = Duration::from_millis(150);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, SharedItem>,
    is_unavailable: bool,
    loses_answers: bool,
    /// Number of calls for the learned profile.
    profile_calls: usize,
    /// Number of all other calls.
    other_calls: usize,
    writes: usize,
}

/// Store in memory that counts its calls.
#[derive(Clone, Default)]
struct CountingStore(Arc<Mutex<State>>);

impl CountingStore {
    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().expect("no test has panicked"))
    }

    fn other_call(&self) -> Result<(), SharedStoreError> {
        self.with(|state| state.other_calls += 1);
        self.availability()
    }

    fn profile_call(&self) -> Result<(), SharedStoreError> {
        self.with(|state| state.profile_calls += 1);
        self.availability()
    }

    fn availability(&self) -> Result<(), SharedStoreError> {
        match self.with(|state| state.is_unavailable) {
            true => Err(SharedStoreError::TurnedAway { status: 503 }),
            false => Ok(()),
        }
    }

    fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.with(|state| {
            state.revision += 1;
            let item = SharedItem {
                key: key.to_owned(),
                value: Some(value.to_vec()),
                revision: state.revision,
            };
            state.items.insert(key.to_owned(), item);
            state.revision
        })
    }

    fn item(&self, key: &str) -> Option<SharedItem> {
        self.with(|state| state.items.get(key).cloned())
    }

    fn document(&self) -> LearnedProfile {
        let value = self.item(KEY).and_then(|item| item.value);
        LearnedProfile::decode(&value.expect("a document")).expect("a good document")
    }
}

impl SharedStore for CountingStore {
    async fn read(&self, key: &str) -> Result<Option<SharedItem>, SharedStoreError> {
        self.profile_call()?;
        Ok(self.item(key))
    }

    async fn check(&self, known: &[KnownRevision]) -> Result<SharedCheck, SharedStoreError> {
        self.other_call()?;
        let found = known.iter().filter_map(|known| {
            let item = self.item(&known.key)?;
            (item.revision != known.revision).then_some(item)
        });
        Ok(SharedCheck {
            items: found.collect(),
        })
    }

    async fn list(&self, prefix: &str) -> Result<SharedList, SharedStoreError> {
        self.other_call()?;
        Ok(self.with(|state| {
            let items = state.items.values();
            let listed = items.filter(|item| item.key.starts_with(prefix));
            SharedList {
                items: listed.cloned().collect(),
                revision: state.revision,
            }
        }))
    }

    /// Reports no changes, so that only the calls of an idle system are counted.
    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<SharedChanges, SharedStoreError> {
        self.other_call()?;
        sleep(wait).await;
        Ok(SharedChanges {
            items: Vec::new(),
            revision: after,
        })
    }

    async fn grant(&self, time: Duration) -> Result<SharedLease, SharedStoreError> {
        self.other_call()?;
        Ok(SharedLease { id: 1, time })
    }

    async fn renew(&self, _: SharedLease) -> Result<bool, SharedStoreError> {
        self.other_call()?;
        Ok(true)
    }

    async fn revoke(&self, _: SharedLease) -> Result<(), SharedStoreError> {
        self.other_call()
    }

    async fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        _: SharedLease,
        _: Option<u64>,
    ) -> Result<SharedWrite, SharedStoreError> {
        self.other_call()?;
        self.put(key, value);
        Ok(SharedWrite::Done)
    }
}

impl PersistentStore for CountingStore {
    async fn write(
        &self,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> Result<PersistentWrite, SharedStoreError> {
        self.profile_call()?;
        let found = self.item(key).map_or(0, |item| item.revision);
        if found != expected {
            return Ok(PersistentWrite::Changed);
        }
        let revision = self.put(key, value);
        self.with(|state| state.writes += 1);
        match self.with(|state| std::mem::take(&mut state.loses_answers)) {
            true => Err(SharedStoreError::NoAnswer {
                problem: "lost".to_owned(),
            }),
            false => Ok(PersistentWrite::Done { revision }),
        }
    }
}

/// Entry as the keeper sees it, with a profile that the test sets.
#[derive(Clone)]
struct LearningEntry {
    clock: Clock,
    own: Arc<Mutex<LearnedProfile>>,
    taken: Arc<Mutex<Vec<LearnedProfile>>>,
    /// Whether its slowdowns differ from those in every written document.
    always_changes: bool,
}

impl LearningEntry {
    fn new(clock: Clock) -> Self {
        Self {
            clock,
            own: Arc::default(),
            taken: Arc::default(),
            always_changes: false,
        }
    }

    fn suspects(&self, numbers: &[u32]) {
        let suspects = numbers.iter().map(|number| LearnedSuspect {
            kind: TaskKind(*number),
            crashed_after_ms: 10,
            share_per_mille: 250,
            crashed_sides: Vec::new(),
        });
        self.own.lock().expect("own").suspects = suspects.collect();
    }

    fn taken(&self) -> Vec<LearnedProfile> {
        self.taken.lock().expect("taken").clone()
    }
}

impl ProfileHolder for LearningEntry {
    async fn offer(&self, known: Option<Arc<LearnedProfile>>) -> Option<ProfileOffer> {
        let own_profile = self.own.lock().expect("own").clone();
        let profile = LearnedProfile {
            written_ms: WRITTEN + self.clock.monotonic().as_micros() / 1_000,
            ..own_profile
        };
        let change = match self.always_changes {
            true => Some(ProfileUpdate::Slowdown),
            false => profile_update(known.as_deref(), &profile, true),
        };
        change.map(|change| ProfileOffer {
            profile,
            update: change,
            writer_rank: 0,
        })
    }

    async fn take(&self, profile: Arc<LearnedProfile>) {
        let profile = LearnedProfile::clone(&profile);
        self.taken.lock().expect("taken").push(profile);
    }
}

fn keep(store: &CountingStore, entry: &LearningEntry) -> ProfileCounts {
    let counts = ProfileCounts::default();
    let settings = ProfileSettings {
        key: KEY.to_owned(),
        clock: entry.clock,
        counts: counts.clone(),
    };
    tokio::spawn(keep_profile(store.clone(), entry.clone(), settings));
    counts
}

async fn sleep_seconds(count: u64) {
    sleep(Duration::from_secs(count)).await;
}

fn written_by_others() -> LearnedProfile {
    let slowdown = LearnedSlowdown {
        queue: Arc::from("queue"),
        class: Arc::from("fast"),
        runs: 64,
        log_ratio: -0.3,
    };
    LearnedProfile {
        written_ms: 1,
        slowdowns: vec![slowdown],
        ..LearnedProfile::default()
    }
}

/// Makes the calls that an entry makes in any case: it keeps itself listed, and follows the directory and operators'
/// writes.
fn make_usual_calls(store: &CountingStore, clock: Clock) -> mpsc::UnboundedReceiver<()> {
    let own_entry = OwnEntry {
        name: "own".to_owned(),
        value: "7".to_owned(),
    };
    let directory = DirectorySettings {
        prefix: "system/entries/".to_owned(),
        own_entry: Some(own_entry),
        read: |value| Some(value.len()),
        lease_time: Duration::from_secs(6),
        watch_wait: DIRECTORY_WATCH_WAIT,
        retry_pause: RETRY_PAUSE,
        clock,
    };
    let operators = OperatorFeedSettings {
        prefix: "op/".to_owned(),
        config_key: "op/config".to_owned(),
        drained_prefix: "op/drained/".to_owned(),
        shares_prefix: "op/share/".to_owned(),
        halls: vec![Hall::from("a"), Hall::from("b")],
        watch_wait: Duration::from_millis(3_150),
        retry_pause: RETRY_PAUSE,
    };
    store.put("op/config", b"configuration");
    let (listed, _) = watch::channel(Directory::new());
    tokio::spawn(keep_directory(store.clone(), directory, listed));
    let (updates, mut received) = mpsc::unbounded_channel();
    tokio::spawn(feed_operator_updates(store.clone(), operators, updates));
    let (alive, ends) = mpsc::unbounded_channel();
    tokio::spawn(async move { while !alive.is_closed() && received.recv().await.is_some() {} });
    ends
}

#[tokio::test(start_paused = true)]
async fn an_hour_of_changing_paces_costs_a_twentieth_of_the_usual_calls_at_most() {
    let store = CountingStore::default();
    let clock = Clock::start();
    let _usual = make_usual_calls(&store, clock);
    let entry = LearningEntry {
        always_changes: true,
        ..LearningEntry::new(clock)
    };
    keep(&store, &entry);
    sleep(HOUR).await;
    let (own, usual) = store.with(|state| (state.profile_calls, state.other_calls));
    println!("{own} calls beside {usual} usual ones");
    assert!(own * 20 <= usual, "{own} calls beside {usual} usual ones");
}

#[tokio::test(start_paused = true)]
async fn an_entry_without_news_reads_once_and_writes_nothing() {
    let store = CountingStore::default();
    let bytes = written_by_others().encode().expect("bytes");
    store.put(KEY, &bytes);
    let entry = LearningEntry::new(Clock::start());
    let counts = keep(&store, &entry);
    sleep(HOUR).await;
    assert_eq!(entry.taken(), [written_by_others()]);
    assert_eq!(store.with(|state| state.profile_calls), 1);
    assert_eq!(counts.count("read", "news"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_read_back_and_the_write_is_not_made_again() {
    let store = CountingStore::default();
    store.with(|state| state.loses_answers = true);
    let entry = LearningEntry::new(Clock::start());
    entry.suspects(&[1]);
    let counts = keep(&store, &entry);
    sleep_seconds(60).await;
    assert_eq!(store.with(|state| state.writes), 1);
    assert_eq!(store.document().suspects.len(), 1);
    assert_eq!(counts.count("not_written", "unanswered"), 1);
    assert_eq!(counts.count("read", "known"), 1);
    assert_eq!(entry.taken(), []);
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_away_at_the_start_is_asked_seldom_and_read_at_last() {
    let store = CountingStore::default();
    let bytes = written_by_others().encode().expect("bytes");
    store.put(KEY, &bytes);
    store.with(|state| state.is_unavailable = true);
    let entry = LearningEntry::new(Clock::start());
    keep(&store, &entry);
    sleep(HOUR).await;
    let calls = store.with(|state| state.profile_calls);
    assert!(calls <= 70, "{calls} calls in an hour");
    store.with(|state| state.is_unavailable = false);
    sleep_seconds(90).await;
    assert_eq!(entry.taken(), [written_by_others()]);
}

#[tokio::test(start_paused = true)]
async fn of_two_writers_the_second_takes_what_the_first_has_written() {
    let store = CountingStore::default();
    let clock = Clock::start();
    let entries = [LearningEntry::new(clock), LearningEntry::new(clock)];
    let counts = entries.each_ref().map(|entry| keep(&store, entry));
    sleep_seconds(5).await;
    for entry in &entries {
        entry.suspects(&[1]);
    }
    sleep_seconds(30).await;
    assert_eq!(store.with(|state| state.writes), 1);
    assert_eq!(store.document().suspects.len(), 1);
    let refused = counts.each_ref().map(|counts| counts.count("refused", ""));
    assert_eq!(refused.iter().sum::<u64>(), 1);
    let taken = entries.each_ref().map(|entry| entry.taken().len());
    assert_eq!(taken.iter().sum::<usize>(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_document_that_cannot_be_read_is_counted_and_written_over() {
    for (value, cause) in [
        (&b"{}"[..], "cut"),
        (&b"some text of another program"[..], "other_format"),
    ] {
        let store = CountingStore::default();
        store.put(KEY, value);
        let entry = LearningEntry::new(Clock::start());
        let counts = keep(&store, &entry);
        sleep_seconds(5).await;
        assert_eq!(counts.count("not_taken", cause), 1);
        assert_eq!(entry.taken(), []);
        entry.suspects(&[1]);
        sleep_seconds(5).await;
        assert_eq!(store.document().suspects.len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn suspects_that_come_and_go_are_written_each_ten_seconds_at_most() {
    let store = CountingStore::default();
    let entry = LearningEntry::new(Clock::start());
    keep(&store, &entry);
    for number in 0..100 {
        entry.suspects(&[number]);
        sleep_seconds(1).await;
    }
    let writes = store.with(|state| state.writes);
    assert!((5..=11).contains(&writes), "{writes} writes in 100 s");
}
