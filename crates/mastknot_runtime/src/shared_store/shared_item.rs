use std::time::Duration;

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedItem {
    /// Name of the key.
    pub key: String,
    /// Value of the key; `None` if the key does not exist.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change of the key.
    pub revision: u64,
}

/// List of all keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedList {
    /// Keys with their values.
    pub items: Vec<SharedItem>,
    /// Revision from which a watch may continue.
    pub revision: u64,
}

/// Changes of keys, in the order in which they happened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedChanges {
    /// Changed keys with their new values.
    pub items: Vec<SharedItem>,
    /// Revision from which the next watch continues.
    pub revision: u64,
}

impl SharedItem {
    /// Returns whether the key does not exist.
    pub fn is_gone(&self) -> bool {
        self.value.is_none()
    }
}

/// A key and its known revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRevision {
    /// Name of the key.
    pub key: String,
    /// Revision of the last known change of the key; 0 if the key does not exist.
    pub revision: u64,
}

/// Result of a check of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedCheck {
    /// Checked keys with their values; empty if all keys have their known revisions. Keys that do not exist may be
    /// left out.
    pub items: Vec<SharedItem>,
}

/// A lease at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLease {
    /// Number of the lease.
    pub id: u64,
    /// Time after which the lease expires if it is not renewed.
    pub time: Duration,
}

/// Result of a write under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedWrite {
    /// The value was written.
    Done,
    /// The lease has expired, so nothing was written.
    LeaseOver,
    /// The key has another revision than the expected one, so nothing was written.
    Changed,
}
