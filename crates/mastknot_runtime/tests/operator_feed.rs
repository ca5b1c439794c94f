//! Feed of operators' writes over a store whose watches miss changes and that is unavailable at times, in paused
//! time.

#![allow(
    clippy::disallowed_methods,
    reason = "the test controls the clock that it reads"
)]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mastknot_core::job::{DrainedHalls, ShareWeights};
use mastknot_core::types::Hall;
use mastknot_runtime::{
    KnownRevision, OperatorFeedSettings, OperatorUpdate, SharedChanges, SharedCheck, SharedItem,
    SharedLease, SharedList, SharedStore, SharedStoreError, SharedWrite, feed_operator_updates,
};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

const PREFIX: &str = "op/";
const KEY: &str = "op/config";
const DRAINED: &str = "op/drained/";
const SHARES: &str = "op/share/";
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Interval at which a waiting watch of the fake store checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of a key in the fake store. Removed keys stay without a value.
#[derive(Clone, Debug)]
struct KeyState {
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, KeyState>,
    is_unavailable: bool,
    /// Whether watches miss all changes.
    misses_changes: bool,
    /// Whether the next watch fails because its history is gone.
    has_lost_history: bool,
    /// Whether a check with results names keys that do not exist.
    names_absent_keys: bool,
    calls: usize,
    lists: usize,
    /// Number of transfers of the configuration.
    transfers: usize,
}

/// Fake store in memory with a few keys.
#[derive(Clone, Default)]
struct FakeStore(Arc<Mutex<State>>);

impl FakeStore {
    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().unwrap())
    }

    fn put(&self, value: &str) {
        self.set(KEY, Some(value));
    }

    fn drain(&self, hall: &str) {
        self.set(&format!("{DRAINED}{hall}"), Some("{}"));
    }

    fn undrain(&self, hall: &str) {
        self.set(&format!("{DRAINED}{hall}"), None);
    }

    fn set(&self, key: &str, value: Option<&str>) {
        self.with(|state| {
            state.revision += 1;
            let held = KeyState {
                value: value.map(|value| value.as_bytes().to_vec()),
                revision: state.revision,
            };
            state.keys.insert(key.to_owned(), held);
        });
    }

    fn changed_since(&self, prefix: &str, revision: u64) -> Vec<SharedItem> {
        self.with(|state| {
            let keys = state.keys.iter();
            let changed =
                keys.filter(|(key, held)| key.starts_with(prefix) && held.revision > revision);
            let mut changed: Vec<SharedItem> = changed.map(|(key, held)| item(key, held)).collect();
            changed.sort_by_key(|item| item.revision);
            state.transfers += changed.iter().filter(|item| item.key == KEY).count();
            changed
        })
    }

    fn record_call(&self) -> Result<u64, SharedStoreError> {
        self.with(|state| {
            state.calls += 1;
            match state.is_unavailable {
                true => Err(SharedStoreError::TurnedAway { status: 503 }),
                false => Ok(state.revision),
            }
        })
    }
}

fn item(key: &str, held: &KeyState) -> SharedItem {
    SharedItem {
        key: key.to_owned(),
        value: held.value.clone(),
        revision: held.revision,
    }
}

impl SharedStore for FakeStore {
    async fn read(&self, _: &str) -> Result<Option<SharedItem>, SharedStoreError> {
        unreachable!("operators' keys are checked, listed and watched")
    }

    async fn check(&self, known: &[KnownRevision]) -> Result<SharedCheck, SharedStoreError> {
        self.record_call()?;
        let check = self.with(|state| {
            let revision = |key: &str| {
                let held = state.keys.get(key).filter(|held| held.value.is_some());
                held.map_or(0, |held| held.revision)
            };
            if known
                .iter()
                .all(|known| revision(&known.key) == known.revision)
            {
                return SharedCheck::default();
            }
            let named = known.iter().filter_map(|known| {
                let held = state.keys.get(&known.key)?;
                let is_named = held.value.is_some() || state.names_absent_keys;
                is_named.then(|| item(&known.key, held))
            });
            SharedCheck {
                items: named.collect(),
            }
        });
        let has_config = check.items.iter().any(|item| item.key == KEY);
        self.with(|state| state.transfers += usize::from(has_config));
        Ok(check)
    }

    async fn list(&self, prefix: &str) -> Result<SharedList, SharedStoreError> {
        let revision = self.record_call()?;
        self.with(|state| state.lists += 1);
        let mut items = self.changed_since(prefix, 0);
        items.retain(|item| !item.is_gone());
        Ok(SharedList { items, revision })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<SharedChanges, SharedStoreError> {
        self.record_call()?;
        if self.with(|state| std::mem::take(&mut state.has_lost_history)) {
            return Err(SharedStoreError::HistoryGone);
        }
        let ends = Instant::now() + wait;
        while Instant::now() < ends {
            let misses_changes = self.with(|state| state.misses_changes);
            if !misses_changes {
                let items = self.changed_since(prefix, after);
                if let Some(last) = items.last() {
                    let revision = last.revision;
                    return Ok(SharedChanges { items, revision });
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        // A watch that misses changes continues behind them without reporting them.
        let revision = self.with(|state| state.revision);
        let items = Vec::new();
        Ok(SharedChanges { items, revision })
    }

    async fn grant(&self, _: Duration) -> Result<SharedLease, SharedStoreError> {
        unreachable!("nothing is leased")
    }

    async fn renew(&self, _: SharedLease) -> Result<bool, SharedStoreError> {
        unreachable!("nothing is leased")
    }

    async fn revoke(&self, _: SharedLease) -> Result<(), SharedStoreError> {
        unreachable!("nothing is leased")
    }

    async fn write_leased(
        &self,
        _: &str,
        _: &[u8],
        _: SharedLease,
        _: Option<u64>,
    ) -> Result<SharedWrite, SharedStoreError> {
        unreachable!("nothing is written")
    }
}

fn start(store: &FakeStore) -> mpsc::UnboundedReceiver<OperatorUpdate> {
    let settings = OperatorFeedSettings {
        prefix: PREFIX.to_owned(),
        config_key: KEY.to_owned(),
        drained_prefix: DRAINED.to_owned(),
        shares_prefix: SHARES.to_owned(),
        halls: vec![Hall::from("a"), Hall::from("b")],
        watch_wait: WATCH_WAIT,
        retry_pause: Duration::from_millis(150),
    };
    let (updates, received) = mpsc::unbounded_channel();
    tokio::spawn(feed_operator_updates(store.clone(), settings, updates));
    received
}

/// Returns the next configuration, if one arrives within `limit`.
async fn next(
    updates: &mut mpsc::UnboundedReceiver<OperatorUpdate>,
    limit: Duration,
) -> Option<String> {
    let ends = Instant::now() + limit;
    loop {
        let left = ends.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left, updates.recv()).await.ok()?? {
            OperatorUpdate::Config(value) => return String::from_utf8(value).ok(),
            OperatorUpdate::DrainedHalls(_)
            | OperatorUpdate::ShareWeights(_)
            | OperatorUpdate::BadShareWeights(_) => {}
        }
    }
}

/// Returns the next set of drained halls, if one arrives within `limit`.
async fn next_drained(
    updates: &mut mpsc::UnboundedReceiver<OperatorUpdate>,
    limit: Duration,
) -> Option<DrainedHalls> {
    let ends = Instant::now() + limit;
    loop {
        let left = ends.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left, updates.recv()).await.ok()?? {
            OperatorUpdate::DrainedHalls(drained) => return Some(drained),
            OperatorUpdate::Config(_)
            | OperatorUpdate::ShareWeights(_)
            | OperatorUpdate::BadShareWeights(_) => {}
        }
    }
}

fn names(drained: &DrainedHalls) -> Vec<&str> {
    drained.halls.iter().map(Hall::as_str).collect()
}

#[tokio::test(start_paused = true)]
async fn a_value_that_has_not_changed_is_not_transferred_again() {
    let store = FakeStore::default();
    store.put("one");
    let mut values = start(&store);
    let first = next(&mut values, Duration::from_millis(50)).await;
    assert_eq!(first.as_deref(), Some("one"));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(store.with(|state| state.transfers), 1);
}

#[tokio::test(start_paused = true)]
async fn a_change_is_heard_at_once() {
    let store = FakeStore::default();
    store.put("one");
    let mut values = start(&store);
    next(&mut values, Duration::from_millis(50)).await;
    sleep(Duration::from_millis(300)).await;
    store.put("two");
    let second = next(&mut values, Duration::from_millis(50)).await;
    assert_eq!(second.as_deref(), Some("two"));
}

#[tokio::test(start_paused = true)]
async fn a_change_that_no_watch_hears_is_found_by_the_next_check() {
    let store = FakeStore::default();
    store.put("one");
    let mut values = start(&store);
    next(&mut values, Duration::from_millis(50)).await;
    store.with(|state| state.misses_changes = true);
    sleep(Duration::from_millis(300)).await;
    store.put("two");
    let second = next(&mut values, WATCH_WAIT).await;
    assert_eq!(second.as_deref(), Some("two"));
}

#[tokio::test(start_paused = true)]
async fn a_forgotten_history_costs_nothing_but_a_list() {
    let store = FakeStore::default();
    store.put("one");
    let mut values = start(&store);
    next(&mut values, Duration::from_millis(50)).await;
    store.with(|state| state.has_lost_history = true);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.with(|state| state.transfers), 1);
    assert_eq!(store.with(|state| state.lists), 2);
    store.put("two");
    let second = next(&mut values, Duration::from_millis(50)).await;
    assert_eq!(second.as_deref(), Some("two"));
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_away_is_asked_less_and_less_often() {
    let store = FakeStore::default();
    store.put("one");
    let mut values = start(&store);
    next(&mut values, Duration::from_millis(50)).await;
    sleep(Duration::from_secs(1)).await;
    store.with(|state| {
        state.is_unavailable = true;
        state.calls = 0;
    });
    sleep(Duration::from_secs(12)).await;
    let calls = store.with(|state| state.calls);
    assert!((20..=80).contains(&calls), "{calls} calls in 12 s");
    store.put("two");
    store.with(|state| state.is_unavailable = false);
    let second = next(&mut values, Duration::from_millis(950)).await;
    assert_eq!(second.as_deref(), Some("two"));
}

#[tokio::test(start_paused = true)]
async fn drained_halls_are_known_before_the_first_configuration() {
    let store = FakeStore::default();
    store.put("one");
    store.drain("a");
    store.drain("elsewhere");
    let mut updates = start(&store);
    let Some(OperatorUpdate::DrainedHalls(drained)) = updates.recv().await else {
        panic!("the configuration came first");
    };
    assert_eq!(names(&drained), ["a", "elsewhere"]);
    assert_eq!(drained.revision, 3);
    let config = next(&mut updates, Duration::from_millis(50)).await;
    assert_eq!(config.as_deref(), Some("one"));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_drained_until_operators_say_so() {
    let store = FakeStore::default();
    store.put("one");
    let mut updates = start(&store);
    let first = next_drained(&mut updates, Duration::from_millis(50)).await;
    let first = first.expect("an empty set is news at the start");
    assert!(first.halls.is_empty() && first.revision > 0);
    assert_eq!(
        next_drained(&mut updates, Duration::from_secs(20)).await,
        None
    );
    assert_eq!(store.with(|state| state.lists), 1);
}

#[tokio::test(start_paused = true)]
async fn a_hall_that_is_drained_and_returned_is_heard_of_at_once() {
    let store = FakeStore::default();
    store.put("one");
    let mut updates = start(&store);
    next(&mut updates, Duration::from_millis(50)).await;
    sleep(Duration::from_millis(300)).await;
    store.drain("b");
    let drained = next_drained(&mut updates, Duration::from_millis(50)).await;
    assert_eq!(names(&drained.unwrap()), ["b"]);
    store.undrain("b");
    let returned = next_drained(&mut updates, Duration::from_millis(50)).await;
    assert_eq!(returned.unwrap().halls.len(), 0);
}

/// Both changes happen within one poll of the watch, so the state after the last one must be reported.
#[tokio::test(start_paused = true)]
async fn a_key_that_goes_and_comes_within_a_moment_counts_as_its_last_change_says() {
    let store = FakeStore::default();
    store.put("one");
    store.drain("a");
    let mut updates = start(&store);
    next(&mut updates, Duration::from_millis(50)).await;
    sleep(Duration::from_millis(100)).await;
    store.undrain("a");
    store.drain("a");
    let drained = next_drained(&mut updates, Duration::from_millis(50))
        .await
        .unwrap();
    assert_eq!(names(&drained), ["a"]);
    assert_eq!(drained.revision, 4);
    store.drain("b");
    store.undrain("b");
    let drained = next_drained(&mut updates, Duration::from_millis(50))
        .await
        .unwrap();
    assert_eq!(names(&drained), ["a"]);
}

/// A check with results may name the keys that do not exist or leave them out.
#[tokio::test(start_paused = true)]
async fn a_hall_that_no_watch_hears_of_is_found_by_the_next_check() {
    for names_absent_keys in [false, true] {
        let store = FakeStore::default();
        store.put("one");
        let mut updates = start(&store);
        next(&mut updates, Duration::from_millis(50)).await;
        store.with(|state| {
            state.misses_changes = true;
            state.names_absent_keys = names_absent_keys;
        });
        store.drain("a");
        let drained = next_drained(&mut updates, WATCH_WAIT * 2).await.unwrap();
        assert_eq!(names(&drained), ["a"]);
        store.undrain("a");
        let returned = next_drained(&mut updates, WATCH_WAIT * 2).await.unwrap();
        assert_eq!(returned.halls.len(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_hall_drained_while_the_history_was_dropped_is_found() {
    let store = FakeStore::default();
    store.put("one");
    let mut updates = start(&store);
    next(&mut updates, Duration::from_millis(50)).await;
    store.with(|state| state.misses_changes = true);
    store.drain("elsewhere");
    sleep(WATCH_WAIT).await;
    store.with(|state| {
        state.misses_changes = false;
        state.has_lost_history = true;
    });
    let drained = next_drained(&mut updates, WATCH_WAIT * 2).await.unwrap();
    assert_eq!(names(&drained), ["elsewhere"]);
}

#[tokio::test(start_paused = true)]
async fn a_hall_drained_while_the_store_was_away_is_known_soon_after_its_return() {
    let store = FakeStore::default();
    store.put("one");
    let mut updates = start(&store);
    next(&mut updates, Duration::from_millis(50)).await;
    store.with(|state| state.is_unavailable = true);
    sleep(Duration::from_secs(5)).await;
    store.drain("a");
    store.with(|state| state.is_unavailable = false);
    let drained = next_drained(&mut updates, Duration::from_millis(950))
        .await
        .unwrap();
    assert_eq!(names(&drained), ["a"]);
}

/// Returns the next weights of halls, if some arrive within `limit`, and the number of weights that could not be read
/// before them.
async fn next_weights(
    updates: &mut mpsc::UnboundedReceiver<OperatorUpdate>,
    limit: Duration,
) -> Option<(ShareWeights, u64)> {
    let ends = Instant::now() + limit;
    let mut refused = 0;
    loop {
        let left = ends.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left, updates.recv()).await.ok()?? {
            OperatorUpdate::ShareWeights(weights) => return Some((weights, refused)),
            OperatorUpdate::BadShareWeights(count) => refused += count,
            OperatorUpdate::Config(_) | OperatorUpdate::DrainedHalls(_) => {}
        }
    }
}

fn set_weight(store: &FakeStore, hall: &str, value: Option<&str>) {
    store.set(&format!("{SHARES}{hall}"), value);
}

fn named(weights: &ShareWeights) -> Vec<(&str, u32)> {
    let halls = weights.halls.iter();
    halls
        .map(|(hall, weight)| (hall.as_str(), *weight))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn weights_of_halls_that_stand_there_are_read_at_the_start() {
    let store = FakeStore::default();
    store.put("one");
    set_weight(&store, "a", Some(r#"{"weight":200}"#));
    set_weight(&store, "elsewhere", Some(r#"{"weight":50}"#));
    let mut updates = start(&store);
    let (weights, _) = next_weights(&mut updates, Duration::from_millis(50))
        .await
        .unwrap();
    assert_eq!(named(&weights), [("a", 200), ("elsewhere", 50)]);
    assert_eq!(weights.revision, 3);
}

#[tokio::test(start_paused = true)]
async fn weights_that_change_and_go_are_heard_of_at_once() {
    let store = FakeStore::default();
    store.put("one");
    let mut updates = start(&store);
    next(&mut updates, Duration::from_millis(50)).await;
    sleep(Duration::from_millis(300)).await;
    let mut revision = 0;
    for (value, wanted) in [
        (Some(r#"{"weight":300}"#), vec![("a", 300)]),
        (Some(r#"{"weight":10000}"#), vec![("a", 10_000)]),
        (None, vec![]),
    ] {
        set_weight(&store, "a", value);
        let (weights, refused) = next_weights(&mut updates, Duration::from_millis(50))
            .await
            .unwrap();
        assert_eq!((named(&weights), refused), (wanted, 0));
        assert!(weights.revision > revision);
        revision = weights.revision;
    }
}

#[tokio::test(start_paused = true)]
async fn a_bad_weight_is_counted_and_the_former_one_stays() {
    let store = FakeStore::default();
    store.put("one");
    set_weight(&store, "a", Some(r#"{"weight":300}"#));
    set_weight(&store, "b", Some(r#"{"weight":40}"#));
    let mut updates = start(&store);
    next_weights(&mut updates, Duration::from_millis(50)).await;
    next(&mut updates, Duration::from_millis(50)).await;
    sleep(Duration::from_millis(100)).await;
    for bad in [
        r#"{"weight":0}"#,
        r#"{"weight":10001}"#,
        r#"{"weight":-1}"#,
        r#"{"weight":"300"}"#,
        r#"{"weight":3,"of":"a"}"#,
        "{}",
        "",
        "\u{0}",
    ] {
        set_weight(&store, "a", Some(bad));
        let (weights, refused) = next_weights(&mut updates, Duration::from_millis(50))
            .await
            .unwrap();
        assert_eq!(named(&weights), [("a", 300), ("b", 40)], "{bad}");
        assert_eq!(refused, 1, "{bad}");
    }
}

/// A check with results may name the keys that do not exist or leave them out.
#[tokio::test(start_paused = true)]
async fn weights_that_no_watch_hears_of_are_found_by_the_next_check() {
    for names_absent_keys in [false, true] {
        let store = FakeStore::default();
        store.put("one");
        let mut updates = start(&store);
        next(&mut updates, Duration::from_millis(50)).await;
        store.with(|state| {
            state.misses_changes = true;
            state.names_absent_keys = names_absent_keys;
        });
        set_weight(&store, "b", Some(r#"{"weight":7}"#));
        let (weights, _) = next_weights(&mut updates, WATCH_WAIT * 2).await.unwrap();
        assert_eq!(named(&weights), [("b", 7)]);
        set_weight(&store, "b", None);
        let (weights, _) = next_weights(&mut updates, WATCH_WAIT * 2).await.unwrap();
        assert_eq!(named(&weights), []);
    }
}

/// Weights that do not change cost one list at the start, and no further calls.
#[tokio::test(start_paused = true)]
async fn weights_cost_no_calls_while_nobody_changes_them() {
    let mut calls = Vec::new();
    for has_weights in [false, true] {
        let store = FakeStore::default();
        store.put("one");
        if has_weights {
            set_weight(&store, "a", Some(r#"{"weight":300}"#));
        }
        let _news = start(&store);
        sleep(Duration::from_secs(60)).await;
        calls.push(store.with(|state| (state.calls, state.lists)));
    }
    let [(plain, plain_lists), (weighed, weighed_lists)] = calls[..] else {
        panic!("two stores");
    };
    assert_eq!((weighed, weighed_lists), (plain + 1, plain_lists + 1));
}
