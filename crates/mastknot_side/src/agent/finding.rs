//! Finding entries in the store when no link stands.

use std::time::Duration;

use log::info;
use mastknot_core::job::KnownEntry;
use mastknot_runtime::{Directory, SharedStore, read_directory};
use tokio::time::sleep;

use super::{AgentNode, TargetPort};

/// Until the first look at the own links; a process that has just started knows no entry for sure.
const FIRST_CHECK: Duration = Duration::from_millis(60);
/// Between two looks at the own links.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Where entries are listed, and how their list is read.
#[derive(Clone, Debug)]
pub struct EntryLookup<S, V> {
    /// The store.
    pub store: S,
    /// All entries' keys begin so.
    pub prefix: String,
    /// Reads a value.
    pub read: fn(&[u8]) -> Option<V>,
    /// Makes entries of the list.
    pub entries_of: fn(&Directory<V>) -> Vec<KnownEntry>,
}

/// Reads the list of entries while no link stands; entries that are linked tell of the others.
pub async fn find_entries<P: TargetPort, S: SharedStore, V>(
    node: AgentNode<P>,
    places: EntryLookup<S, V>,
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
        let Ok(list) = places.store.list(&places.prefix).await else {
            continue;
        };
        let listed = read_directory(&places.prefix, &list.items, places.read);
        let entries = (places.entries_of)(&listed);
        info!(entries = entries.len(); "entries read from the store");
        node.learn_entries(entries).await;
    }
}
