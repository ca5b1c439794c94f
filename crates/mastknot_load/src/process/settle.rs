use std::time::Duration;

use mastknot_client::Client;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::EntryProcess;
use crate::error::{LoadError, WrongRegimeSnafu};

/// How long a system may take to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// How often it is looked at meanwhile.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until every entry has all members and at least this many sides.
pub(crate) async fn settle(
    client: &Client,
    entries: &[EntryProcess],
    sides: usize,
) -> Result<(), LoadError> {
    let deadline = Instant::now() + SETTLE_LIMIT;
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
                let what = format!("{members} members, {joined} sides");
                return WrongRegimeSnafu { what }.fail();
            }
            sleep(LOOK_INTERVAL).await;
        }
    }
    Ok(())
}

fn count(list: &Value) -> usize {
    list.as_array().map_or(0, Vec::len)
}
