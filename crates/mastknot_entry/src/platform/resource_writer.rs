use std::time::Duration;

use log::info;
use mastknot_core::config::{ConfigWrite, StoredResource, WriteCall, WriteStep};
use mastknot_runtime::{StoreClient, StoreError, StoreReason, StoredValue, SwapResult};
use serde_json::Value;

use super::CONFIG_PREFIX;

/// Maximum number of calls of one write before it is reported as undecided.
const MAX_CALLS: usize = 20;
/// Pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Outcome of an operator's write.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WriteOutcome {
    /// The write has certainly taken effect, at this revision.
    Accepted(u64),
    /// The resource was at another version; holds the current revision and resource, if any.
    Conflict(Option<(u64, StoredResource)>),
    /// The write may have taken effect, or may still take effect.
    Undecided,
    /// The store could not be read, so no write was sent.
    StoreDown,
}

/// Writes a resource that must be at version `expected`; zero means that the resource must not
/// exist.
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
                    info!(key = key.as_str(); "no answer to the read that verifies a write: {error}");
                    tokio::time::sleep(RETRY_PAUSE).await;
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

/// Returns the revision and the nonce of the stored resource; revision zero if there is none.
fn base_of(current: &Option<(u64, StoredResource)>) -> (u64, Option<String>) {
    match current {
        Some((revision, resource)) => (*revision, Some(resource.nonce.clone())),
        None => (0, None),
    }
}

/// Returns the version that operators see; zero for a resource that is deleted or was never
/// written.
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
