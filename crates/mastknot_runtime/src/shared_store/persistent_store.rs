use std::future::Future;

use super::{SharedStore, SharedStoreError};

/// A store that also takes values that go with no lease: they outlast whoever wrote them.
pub trait PersistentStore: SharedStore {
    /// Writes a key if it has the `expected` revision (0: it is not there).
    fn write(
        &self,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> impl Future<Output = Result<PersistentWrite, SharedStoreError>> + Send;
}

/// What became of a write that goes with no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistentWrite {
    /// It is done.
    Done {
        /// The key's revision now.
        revision: u64,
    },
    /// The key has another revision than the expected one; nothing was done.
    Changed,
}
