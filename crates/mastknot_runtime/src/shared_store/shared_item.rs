use std::time::Duration;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedItem {
    /// The key.
    pub key: String,
    /// Its value; none when the key is gone.
    pub value: Option<Vec<u8>>,
    /// The revision of its last change.
    pub revision: u64,
}

/// All keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedList {
    /// The keys.
    pub items: Vec<SharedItem>,
    /// The revision from which a watch may go on.
    pub revision: u64,
}

/// Changes in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedChanges {
    /// The changed keys.
    pub items: Vec<SharedItem>,
    /// The revision from which the next watch goes on.
    pub revision: u64,
}

impl SharedItem {
    /// Whether the key is not there any more.
    pub fn is_gone(&self) -> bool {
        self.value.is_none()
    }
}

/// A key and the revision that is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRevision {
    /// The key.
    pub key: String,
    /// The revision of its last known change; 0 for a key that is not there.
    pub revision: u64,
}

/// What a check of keys found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedCheck {
    /// Nothing if all keys are as they were known; else the keys as they are. A key that is not there may be left out.
    pub items: Vec<SharedItem>,
}

/// A lease at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLease {
    /// Its number.
    pub id: u64,
    /// How long it lasts without being renewed.
    pub time: Duration,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedWrite {
    /// It is done.
    Done,
    /// Its lease is over; nothing was done.
    LeaseOver,
    /// The key has another revision than the expected one; nothing was done.
    Changed,
}
