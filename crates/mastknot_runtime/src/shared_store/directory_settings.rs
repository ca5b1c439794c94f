use std::time::Duration;

use crate::Clock;

/// The own entry of a process in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnEntry {
    /// Its key, behind the prefix.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// What the directory of entries is set up with.
#[derive(Clone, Debug)]
pub struct DirectorySettings<V> {
    /// All entries' keys begin so.
    pub prefix: String,
    /// The own entry; none only reads the directory.
    pub own: Option<OwnEntry>,
    /// Reads a value; none if it is not one that an entry writes.
    pub read: fn(&[u8]) -> Option<V>,
    /// How long an entry stays listed after its last renewal.
    pub lease_time: Duration,
    /// How long one watch waits.
    pub watch_wait: Duration,
    /// After a failed call.
    pub retry_pause: Duration,
    /// The process's clock.
    pub clock: Clock,
}

impl<V> DirectorySettings<V> {
    /// The key of the own entry.
    pub(super) fn own_key(&self) -> Option<String> {
        let own = self.own.as_ref()?;
        Some(format!("{}{}", self.prefix, own.name))
    }
}
