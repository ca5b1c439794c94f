use std::time::Duration;

use log::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::{SharedStore, SharedStoreError};

/// What the configuration feed is set up with.
#[derive(Clone, Debug)]
pub struct ConfigFeedSettings {
    /// The key that holds the newest configuration.
    pub key: String,
    /// Between two plain reads; a watch may hear nothing for a while.
    pub read_interval: Duration,
    /// How long one watch waits.
    pub watch_wait: Duration,
    /// After a failed call.
    pub retry_pause: Duration,
}

/// Sends every value of the configuration's key that is read or heard of; older ones may follow
/// newer ones, which the receiver tells by their versions.
pub async fn feed_config<S: SharedStore>(
    store: S,
    settings: ConfigFeedSettings,
    values: mpsc::UnboundedSender<Vec<u8>>,
) {
    let reads = read_often(store.clone(), settings.clone(), values.clone());
    let watches = watch_always(store, settings, values);
    tokio::join!(reads, watches);
}

async fn read_often<S: SharedStore>(
    store: S,
    settings: ConfigFeedSettings,
    values: mpsc::UnboundedSender<Vec<u8>>,
) {
    let mut is_up = true;
    let mut last_revision = 0;
    loop {
        let asked = Instant::now();
        let result = store.read(&settings.key).await;
        let took_ms = asked.elapsed().as_millis() as u64;
        note_dependency(&mut is_up, took_ms, result.as_ref().err());
        let pause = match result {
            Ok(Some(item)) => {
                if item.revision != last_revision {
                    last_revision = item.revision;
                    let bytes = item.value.as_ref().map_or(0, Vec::len);
                    info!(bytes, took_ms, revision = last_revision; "configuration read");
                    send(&values, item.value);
                }
                settings.read_interval
            }
            Ok(None) | Err(_) => settings.retry_pause,
        };
        if values.is_closed() {
            return;
        }
        sleep(pause).await;
    }
}

async fn watch_always<S: SharedStore>(
    store: S,
    settings: ConfigFeedSettings,
    values: mpsc::UnboundedSender<Vec<u8>>,
) {
    while !values.is_closed() {
        let start = match store.list(&settings.key).await {
            Ok(list) => list.revision,
            Err(_) => {
                sleep(settings.retry_pause).await;
                continue;
            }
        };
        watch_from(&store, &settings, &values, start).await;
    }
}

/// Watches until the store has forgotten the changes since the last ones heard.
async fn watch_from<S: SharedStore>(
    store: &S,
    settings: &ConfigFeedSettings,
    values: &mpsc::UnboundedSender<Vec<u8>>,
    mut after: u64,
) {
    while !values.is_closed() {
        match store.watch(&settings.key, after, settings.watch_wait).await {
            Ok(changes) => {
                after = after.max(changes.revision);
                let own = changes
                    .items
                    .into_iter()
                    .filter(|item| item.key == settings.key);
                own.for_each(|item| send(values, item.value));
            }
            Err(SharedStoreError::HistoryGone) => return,
            Err(_) => sleep(settings.retry_pause).await,
        }
    }
}

fn send(values: &mpsc::UnboundedSender<Vec<u8>>, value: Option<Vec<u8>>) {
    if let Some(value) = value {
        let _ = values.send(value);
    }
}

/// One line at each loss and return of the store.
fn note_dependency(is_up: &mut bool, took_ms: u64, error: Option<&SharedStoreError>) {
    match (error, *is_up) {
        (Some(error), true) => warn!(dependency = "store", took_ms, error:%; "lost"),
        (None, false) => info!(dependency = "store"; "regained"),
        _ => {}
    }
    *is_up = error.is_none();
}
