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

/// The store's keys of the configuration start with this.
pub(crate) const CONFIG_PREFIX: &str = "/mastknot/config/";
/// How often it is checked whether a watch has skipped something.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after a failed call, before jitter.
const PAUSE: Duration = Duration::from_millis(500);

/// Feeds the configuration from the store to the actor: a consistent read, then a watch, and a
/// check each second that the watch has not skipped anything.
pub(crate) async fn feed_config(shared: Arc<Shared>, actor: ActorRef<EntryActor>) {
    while actor.is_alive() {
        if let Err(error) = read_and_watch(&shared, &actor).await {
            debug!("configuration feed: {error}");
        }
        let pause = PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
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
            Ok(Ok(Some(event))) => known = pass_on(actor, known, event).await,
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(error)) => return Err(error),
            Err(_) => {
                if has_skipped(shared, &mut watch, known).await? {
                    info!("a watch has skipped a change: reading again");
                    return Ok(());
                }
            }
        }
    }
}

/// Whether the store holds something newer than the watch has told.
async fn has_skipped(
    shared: &Shared,
    _watch: &mut StoreWatch,
    known: u64,
) -> Result<bool, StoreError> {
    let reason = StoreReason::CheckConfig;
    let newest = shared.store.newest(reason, CONFIG_PREFIX).await?;
    Ok(newest > known)
}

async fn pass_on(actor: &ActorRef<EntryActor>, known: u64, event: WatchEvent) -> u64 {
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

/// A stored resource as a node holds it; a malformed one counts as deleted and is logged.
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
