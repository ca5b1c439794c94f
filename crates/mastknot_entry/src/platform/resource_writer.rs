use std::time::Duration;

use log::info;
use mastknot_core::config::{ConfigWrite, StoredResource, WriteCall, WriteStep};
use mastknot_runtime::{StoreClient, StoreError, StoreReason, StoredValue, SwapResult};
use serde_json::Value;

use super::CONFIG_PREFIX;

/// Calls that one write makes at most before it is reported as undecided.
const MAX_CALLS: usize = 20;
/// The pause after a call without an answer.
const PAUSE: Duration = Duration::from_millis(200);

/// How an operator's write ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WriteOutcome {
    /// It took effect at this revision, for certain.
    Accepted(u64),
    /// Another write came first; what stands now.
    Conflict(Option<(u64, StoredResource)>),
    /// It may have taken effect, or may yet.
    Undecided,
    /// Nothing was written: the store could not be read.
    StoreDown,
}

/// Writes a resource that must be at version `expected` (zero: must not exist).
pub(crate) async fn write_resource(
    store: &StoreClient,
    kind: &str,
    name: &str,
    expected: u64,
    nonce: String,
    value: Option<Value>,
) -> WriteOutcome {
    let key = format!("{CONFIG_PREFIX}{kind}/{name}");
    let Ok(current) = read(store, &key).await else {
        return WriteOutcome::StoreDown;
    };
    let (revision, base) = base_of(&current);
    if live_version(&current) != expected {
        return WriteOutcome::Conflict(current);
    }
    let mut write = ConfigWrite::new(revision, base, nonce, value);
    let mut step = write.first();
    for _ in 0..MAX_CALLS {
        step = match step {
            WriteStep::Swap {
                expected_revision,
                resource,
            } => write.on_call_result(swap(store, &key, expected_revision, &resource).await),
            WriteStep::ReadBack => match read(store, &key).await {
                Ok(found) => write.on_read_back(found),
                Err(error) => {
                    info!(key = key.as_str(); "read-back has no answer yet: {error}");
                    tokio::time::sleep(PAUSE).await;
                    WriteStep::ReadBack
                }
            },
            WriteStep::Accepted(revision) => return WriteOutcome::Accepted(revision),
            WriteStep::Conflict(found) => return WriteOutcome::Conflict(found),
            WriteStep::Undecided(_) => return WriteOutcome::Undecided,
        };
    }
    match step {
        WriteStep::Accepted(revision) => WriteOutcome::Accepted(revision),
        WriteStep::Conflict(found) => WriteOutcome::Conflict(found),
        _ => WriteOutcome::Undecided,
    }
}

fn base_of(current: &Option<(u64, StoredResource)>) -> (u64, Option<String>) {
    match current {
        Some((revision, resource)) => (*revision, Some(resource.nonce.clone())),
        None => (0, None),
    }
}

/// The version as operators see it: a deleted resource has none.
fn live_version(current: &Option<(u64, StoredResource)>) -> u64 {
    match current {
        Some((revision, resource)) if resource.value.is_some() => *revision,
        _ => 0,
    }
}

async fn read(store: &StoreClient, key: &str) -> Result<Option<(u64, StoredResource)>, StoreError> {
    let found = store.get(StoreReason::OperatorRead, key).await?;
    found.map(parse).transpose()
}

fn parse(stored: StoredValue) -> Result<(u64, StoredResource), StoreError> {
    let resource = serde_json::from_slice(&stored.value);
    let resource = resource.map_err(|source| StoreError::Malformed { source })?;
    Ok((stored.revision, resource))
}

async fn swap(
    store: &StoreClient,
    key: &str,
    expected: u64,
    resource: &StoredResource,
) -> WriteCall {
    let Ok(bytes) = serde_json::to_vec(resource) else {
        return WriteCall::NotSwapped;
    };
    let reason = StoreReason::OperatorWrite;
    match store.swap(reason, key, expected, &bytes).await {
        Ok(SwapResult::Swapped(revision)) => WriteCall::Swapped(revision),
        Ok(SwapResult::NotSwapped) => WriteCall::NotSwapped,
        Err(error) => {
            info!(key; "no answer to a write: {error}");
            WriteCall::NoAnswer
        }
    }
}
