//! Finding entries in the store when no link stands.

use std::time::Duration;

use log::info;
use mastknot_core::job::KnownEntry;
use mastknot_runtime::{Directory, SharedStore};
use tokio::time::sleep;

use super::{AgentNode, TargetPort};

/// Until the first look at the own links; a process that has just started knows no entry for sure.
const FIRST_CHECK: Duration = Duration::from_millis(60);
/// Between two looks at the own links.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Where entries are listed, and how their list is read.
#[derive(Clone, Debug)]
pub struct FindEntries<S> {
    /// The store.
    pub store: S,
    /// All entries' keys begin so.
    pub prefix: String,
    /// Reads the list.
    pub read: fn(&Directory) -> Vec<KnownEntry>,
}

/// Reads the list of entries while no link stands; entries that are linked tell of the others.
pub async fn find_entries<P: TargetPort, S: SharedStore>(
    node: AgentNode<P>,
    places: FindEntries<S>,
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
        let named = list.items.into_iter().filter_map(|item| {
            let name = item.key.strip_prefix(&places.prefix)?.to_owned();
            let value = String::from_utf8(item.value?).ok()?;
            Some((name, value))
        });
        let entries = (places.read)(&named.collect());
        info!(entries = entries.len(); "entries read from the store");
        node.learn_entries(entries).await;
    }
}
