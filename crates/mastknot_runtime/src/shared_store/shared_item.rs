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

/// What a check of one key found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedCheck {
    /// The store's revision at the check, or that of the changed value.
    pub revision: u64,
    /// The key's value if it has changed.
    pub changed: Option<SharedItem>,
}

/// A lease at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLease {
    /// Its number.
    pub id: u64,
    /// How long it lasts without being renewed.
    pub time: Duration,
}
