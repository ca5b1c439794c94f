use std::time::Duration;

use crate::Clock;

/// The item under which a process lists itself in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnEntry {
    /// Key of the item, without the prefix.
    pub name: String,
    /// Value of the item.
    pub value: String,
}

/// Settings of the directory of entries.
#[derive(Clone, Debug)]
pub struct DirectorySettings<V> {
    /// Prefix of the keys of all entries.
    pub prefix: String,
    /// Item under which this process lists itself; `None` if it only reads the directory.
    pub own_entry: Option<OwnEntry>,
    /// Parses a value; returns `None` if it is not one that an entry writes.
    pub read: fn(&[u8]) -> Option<V>,
    /// Duration of the lease under which an entry is listed, counted from its last renewal.
    pub lease_time: Duration,
    /// Maximum time for which one watch waits for a change.
    pub watch_wait: Duration,
    /// Pause after a failed call to the store.
    pub retry_pause: Duration,
    /// Clock of the process.
    pub clock: Clock,
}

impl<V> DirectorySettings<V> {
    /// Returns the complete key of this process's own item, if it lists itself.
    pub(super) fn own_key(&self) -> Option<String> {
        let own_entry = self.own_entry.as_ref()?;
        Some(format!("{}{}", self.prefix, own_entry.name))
    }
}
