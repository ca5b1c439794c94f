use std::future::Future;

use super::{SharedStore, SharedStoreError};

/// A store that also accepts values without a lease, which outlast the process that wrote them.
pub trait PersistentStore: SharedStore {
    /// Writes a key without a lease if it has the `expected` revision; 0 means that the key must not exist.
    fn write(
        &self,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> impl Future<Output = Result<PersistentWrite, SharedStoreError>> + Send;
}

/// Result of a write without a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistentWrite {
    /// The value was written.
    Done {
        /// New revision of the key.
        revision: u64,
    },
    /// The key has another revision than the expected one, so nothing was written.
    Changed,
}
