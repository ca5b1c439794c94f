//! The configuration's feed over a store that hears late, goes away and loses answers, in paused time.

#![allow(
    clippy::disallowed_methods,
    reason = "a test reads the clock that it plays with"
)]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use mastknot_runtime::{
    ConfigFeedSettings, SharedChanges, SharedCheck, SharedItem, SharedLease, SharedList,
    SharedStore, SharedStoreError, feed_config,
};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

const KEY: &str = "config";
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// How often the stand-in looks for a change, for a watch that waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct State {
    revision: u64,
    value: Option<(Vec<u8>, u64)>,
    is_away: bool,
    is_deaf: bool,
    has_forgotten: bool,
    calls: usize,
    /// How often the value was transferred.
    transfers: usize,
}

/// A store of one key.
#[derive(Clone, Default)]
struct OneKey(Arc<Mutex<State>>);

impl OneKey {
    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().unwrap())
    }

    fn put(&self, value: &str) {
        self.with(|state| {
            state.revision += 1;
            state.value = Some((value.as_bytes().to_vec(), state.revision));
        });
    }

    fn changed_since(&self, revision: u64) -> Option<SharedItem> {
        self.with(|state| {
            let (value, at) = state.value.clone().filter(|(_, at)| *at > revision)?;
            state.transfers += 1;
            Some(SharedItem {
                key: KEY.to_owned(),
                value: Some(value),
                revision: at,
            })
        })
    }

    fn called(&self) -> Result<u64, SharedStoreError> {
        self.with(|state| {
            state.calls += 1;
            match state.is_away {
                true => Err(SharedStoreError::TurnedAway { status: 503 }),
                false => Ok(state.revision),
            }
        })
    }
}

impl SharedStore for OneKey {
    async fn read(&self, _: &str) -> Result<Option<SharedItem>, SharedStoreError> {
        unreachable!("a configuration is checked and watched")
    }

    async fn check(&self, _: &str, known: u64) -> Result<SharedCheck, SharedStoreError> {
        let revision = self.called()?;
        let changed = self.changed_since(known);
        Ok(SharedCheck { revision, changed })
    }

    async fn list(&self, _: &str) -> Result<SharedList, SharedStoreError> {
        unreachable!("a configuration is checked and watched")
    }

    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<SharedChanges, SharedStoreError> {
        self.called()?;
        if self.with(|state| std::mem::take(&mut state.has_forgotten)) {
            return Err(SharedStoreError::HistoryGone);
        }
        let ends = Instant::now() + wait;
        while Instant::now() < ends {
            let is_deaf = self.with(|state| state.is_deaf);
            if let Some(item) = self.changed_since(after).filter(|_| !is_deaf) {
                let revision = item.revision;
                let items = vec![item];
                return Ok(SharedChanges { items, revision });
            }
            sleep(LOOK_INTERVAL).await;
        }
        // A deaf watch goes past the change without having told of it.
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
    ) -> Result<bool, SharedStoreError> {
        unreachable!("nothing is written")
    }
}

fn start(store: &OneKey) -> mpsc::UnboundedReceiver<Vec<u8>> {
    let settings = ConfigFeedSettings {
        key: KEY.to_owned(),
        watch_wait: WATCH_WAIT,
        retry_pause: Duration::from_millis(150),
    };
    let (values, received) = mpsc::unbounded_channel();
    tokio::spawn(feed_config(store.clone(), settings, values));
    received
}

async fn next(values: &mut mpsc::UnboundedReceiver<Vec<u8>>, limit: Duration) -> Option<String> {
    let next = tokio::time::timeout(limit, values.recv()).await.ok()??;
    String::from_utf8(next).ok()
}

#[tokio::test(start_paused = true)]
async fn a_value_that_has_not_changed_is_not_transferred_again() {
    let store = OneKey::default();
    store.put("one");
    let mut values = start(&store);
    let first = next(&mut values, Duration::from_millis(50)).await;
    assert_eq!(first.as_deref(), Some("one"));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(store.with(|state| state.transfers), 1);
}

#[tokio::test(start_paused = true)]
async fn a_change_is_heard_at_once() {
    let store = OneKey::default();
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
    let store = OneKey::default();
    store.put("one");
    let mut values = start(&store);
    next(&mut values, Duration::from_millis(50)).await;
    store.with(|state| state.is_deaf = true);
    sleep(Duration::from_millis(300)).await;
    store.put("two");
    let second = next(&mut values, WATCH_WAIT).await;
    assert_eq!(second.as_deref(), Some("two"));
}

#[tokio::test(start_paused = true)]
async fn a_forgotten_history_costs_nothing_but_a_check() {
    let store = OneKey::default();
    store.put("one");
    let mut values = start(&store);
    next(&mut values, Duration::from_millis(50)).await;
    store.with(|state| state.has_forgotten = true);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.with(|state| state.transfers), 1);
    store.put("two");
    let second = next(&mut values, Duration::from_millis(50)).await;
    assert_eq!(second.as_deref(), Some("two"));
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_away_is_asked_less_and_less_often() {
    let store = OneKey::default();
    store.put("one");
    let mut values = start(&store);
    next(&mut values, Duration::from_millis(50)).await;
    sleep(Duration::from_secs(1)).await;
    store.with(|state| {
        state.is_away = true;
        state.calls = 0;
    });
    sleep(Duration::from_secs(12)).await;
    let calls = store.with(|state| state.calls);
    assert!((20..=80).contains(&calls), "{calls} calls in 12 s");
    store.put("two");
    store.with(|state| state.is_away = false);
    let second = next(&mut values, Duration::from_millis(950)).await;
    assert_eq!(second.as_deref(), Some("two"));
}
