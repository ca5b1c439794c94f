use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use log::{debug, info, warn};
use mastknot_core::config::StoredResource;
use mastknot_core::entry::EntryEvent;
use mastknot_core::message::{ConfigDelta, ConfigItem, ResourceName};
use mastknot_runtime::{StoreError, StoreReason, StoreWatch, StoredValue, WatchEvent, WatchItem};
use rand::RngExt;

use crate::actor::{EntryActor, Input, Shared};

/// Prefix of the configuration's keys in the store.
pub(crate) const CONFIG_PREFIX: &str = "/mastknot/config/";
/// Time without an event after which the feed checks whether the watch has skipped a change.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed call, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Passes the configuration from the store to the actor: a consistent read, then a watch.
///
/// While the watch has no events, the feed checks each second that the watch has not skipped a
/// change.
pub(crate) async fn feed_config(shared: Arc<Shared>, actor: ActorRef<EntryActor>) {
    while actor.is_alive() {
        if let Err(error) = read_and_watch(&shared, &actor).await {
            debug!("configuration feed failed: {error}");
        }
        let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::time::sleep(pause).await;
    }
}

async fn read_and_watch(shared: &Shared, actor: &ActorRef<EntryActor>) -> Result<(), StoreError> {
    let reason = StoreReason::ReadConfig;
    let (revision, values) = shared.store.list(reason, CONFIG_PREFIX).await?;
    let items: Vec<ConfigItem> = values.iter().filter_map(to_item).collect();
    let mut known = items.iter().map(|item| item.version).max().unwrap_or(0);
    if known > 0 {
        let delta = ConfigDelta {
            base: 0,
            version: known,
            items,
        };
        let _ = actor.tell(Input(EntryEvent::Config(delta))).await;
    }
    let mut watch = shared.store.watch(CONFIG_PREFIX, revision + 1).await?;
    loop {
        let event = tokio::time::timeout(CHECK_INTERVAL, watch.next()).await;
        match event {
            Ok(Ok(Some(event))) => known = forward_changes(actor, known, event).await,
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(error)) => return Err(error),
            Err(_) => {
                if has_skipped(shared, &mut watch, known).await? {
                    info!(
                        "the configuration watch has skipped a change: reading the configuration again"
                    );
                    return Ok(());
                }
            }
        }
    }
}

/// Returns whether the store holds a newer change than the watch has sent.
async fn has_skipped(
    shared: &Shared,
    _watch: &mut StoreWatch,
    known: u64,
) -> Result<bool, StoreError> {
    let reason = StoreReason::CheckConfig;
    let newest = shared.store.newest(reason, CONFIG_PREFIX).await?;
    Ok(newest > known)
}

/// Passes the changes of a watch event to the actor and returns the newest version that the actor
/// has.
async fn forward_changes(actor: &ActorRef<EntryActor>, known: u64, event: WatchEvent) -> u64 {
    let values: Vec<StoredValue> = event.items.into_iter().map(value_of).collect();
    let latest = latest_by_key(&values);
    let items: Vec<ConfigItem> = latest.into_values().filter_map(to_item).collect();
    let version = items.iter().map(|item| item.version).max().unwrap_or(0);
    if version <= known {
        return known;
    }
    let delta = ConfigDelta {
        base: known,
        version,
        items,
    };
    let _ = actor.tell(Input(EntryEvent::Config(delta))).await;
    version
}

fn value_of(item: WatchItem) -> StoredValue {
    match item {
        WatchItem::Put(value) | WatchItem::Delete(value) => value,
    }
}

fn latest_by_key(values: &[StoredValue]) -> BTreeMap<&str, &StoredValue> {
    let mut latest: BTreeMap<&str, &StoredValue> = BTreeMap::new();
    for value in values {
        let is_newer = latest
            .get(value.key.as_str())
            .is_none_or(|held| held.revision < value.revision);
        if is_newer {
            latest.insert(&value.key, value);
        }
    }
    latest
}

/// Converts a stored resource into an item of the configuration.
///
/// A malformed resource is logged and counts as deleted. Returns `None` for a key of another form.
fn to_item(stored: &StoredValue) -> Option<ConfigItem> {
    let name = stored.key.strip_prefix(CONFIG_PREFIX)?;
    let (kind, name) = name.split_once('/')?;
    let resource: Result<StoredResource, _> = serde_json::from_slice(&stored.value);
    let value = match resource {
        Ok(resource) => resource.value,
        Err(error) => {
            warn!(key = stored.key.as_str(); "the stored resource is malformed: {error}");
            None
        }
    };
    Some(ConfigItem {
        resource: ResourceName::new(kind, name),
        version: stored.revision,
        value: value.map(|value| value.to_string().into()),
    })
}
