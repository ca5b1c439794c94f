//! Discovery of entries in the store while the side has no link.

use std::time::Duration;

use log::info;
use mastknot_core::job::KnownEntry;
use mastknot_runtime::{Directory, SharedStore, read_directory};
use tokio::time::sleep;

use super::{AgentNode, TargetPort};

/// Time from the start to the first check of the side's links. The time is short, because a process
/// that has just started may know no entry that is up.
const FIRST_CHECK: Duration = Duration::from_millis(60);
/// Time between two checks of the side's links.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Directory of entries in the store, and the functions that read the directory.
#[derive(Clone, Debug)]
pub struct EntryLookup<S, V> {
    /// Store that holds the directory.
    pub store: S,
    /// Prefix of the keys of all entries.
    pub prefix: String,
    /// Decodes the value of one entry; returns `None` if the value is malformed.
    pub read: fn(&[u8]) -> Option<V>,
    /// Converts the directory into known entries.
    pub entries_of: fn(&Directory<V>) -> Vec<KnownEntry>,
}

/// Reads the directory of entries while the side has no link and passes the entries to the agent.
///
/// A side with a link learns the other entries from the linked entry.
pub async fn find_entries<P: TargetPort, S: SharedStore, V>(
    node: AgentNode<P>,
    lookup: EntryLookup<S, V>,
) {
    let mut pause = FIRST_CHECK;
    loop {
        sleep(pause).await;
        pause = CHECK_INTERVAL;
        let Some(report) = node.report().await else {
            return;
        };
        if report.links > 0 {
            continue;
        }
        let Ok(list) = lookup.store.list(&lookup.prefix).await else {
            continue;
        };
        let listed = read_directory(&lookup.prefix, &list.items, lookup.read);
        let entries = (lookup.entries_of)(&listed);
        info!(entries = entries.len(); "entries read from the store");
        node.learn_entries(entries).await;
    }
}
