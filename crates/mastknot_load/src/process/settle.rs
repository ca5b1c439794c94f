use std::time::Duration;

use mastknot_client::Client;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::EntryProcess;
use crate::error::{InvalidRunSnafu, LoadError};

/// Maximum time until a system settles.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two reads of the state of a system that has not settled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until every entry sees all entries in its roster and has at least `sides` sides.
pub(crate) async fn settle(
    client: &Client,
    entries: &[EntryProcess],
    sides: usize,
) -> Result<(), LoadError> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    for entry in entries {
        loop {
            let roster = client.get(entry.operators, "/v1/live/entries").await;
            let targets = client.get(entry.operators, "/v1/live/targets").await;
            let members = roster.map_or(0, |answer| count(&answer.body["entries"]));
            let joined = targets.map_or(0, |answer| count(&answer.body));
            if members == entries.len() && joined >= sides {
                break;
            }
            if Instant::now() > deadline {
                let reason = format!("{members} members, {joined} sides");
                return InvalidRunSnafu { reason }.fail();
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

fn count(list: &Value) -> usize {
    list.as_array().map_or(0, Vec::len)
}
