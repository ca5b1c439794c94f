//! Interface of the key-value service that all processes share, and what they keep in it. Adapters implement it.

mod directory_settings;
mod directory_view;
mod drained_view;
mod entry_directory;
mod operator_feed;
mod operator_update;
mod own_listing;
mod persistent_store;
mod profile_counts;
mod profile_holder;
mod profile_keeper;
mod shared_item;
mod shared_store_error;
mod shares_view;
mod store_call_counts;

pub use directory_settings::{DirectorySettings, OwnEntry};
pub use entry_directory::{DIRECTORY_WATCH_WAIT, Directory, keep_directory, read_directory};
pub use operator_feed::{OperatorFeedSettings, feed_operator_updates};
pub use operator_update::OperatorUpdate;
pub use persistent_store::{PersistentStore, PersistentWrite};
pub use profile_counts::ProfileCounts;
pub use profile_holder::ProfileHolder;
pub use profile_keeper::{ProfileSettings, keep_profile};
pub use shared_item::{
    KnownRevision, SharedChanges, SharedCheck, SharedItem, SharedLease, SharedList, SharedWrite,
};
pub use shared_store_error::SharedStoreError;
pub use store_call_counts::StoreCallCounts;

use std::future::Future;
use std::time::Duration;

/// A key-value service with revisions, leases and watches.
pub trait SharedStore: Clone + Send + Sync + 'static {
    /// Reads the newest value of a key; returns `None` if the key does not exist.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<SharedItem>, SharedStoreError>> + Send;

    /// Checks whether all given keys still have their known revisions. Values are transferred only if a key has
    /// changed.
    fn check(
        &self,
        known: &[KnownRevision],
    ) -> impl Future<Output = Result<SharedCheck, SharedStoreError>> + Send;

    /// Lists all keys with a prefix.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<SharedList, SharedStoreError>> + Send;

    /// Waits for changes of keys with a prefix after a revision, for at most `wait`.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<SharedChanges, SharedStoreError>> + Send;

    /// Requests a new lease that lasts for `time`.
    fn grant(
        &self,
        time: Duration,
    ) -> impl Future<Output = Result<SharedLease, SharedStoreError>> + Send;

    /// Renews a lease; returns false if the lease has expired.
    fn renew(
        &self,
        lease: SharedLease,
    ) -> impl Future<Output = Result<bool, SharedStoreError>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(
        &self,
        lease: SharedLease,
    ) -> impl Future<Output = Result<(), SharedStoreError>> + Send;

    /// Writes a key under a lease. The store removes the key when the lease ends.
    ///
    /// If an `expected` revision is given, the key is written only if it has that revision; 0 means that the key must
    /// not exist.
    fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: SharedLease,
        expected: Option<u64>,
    ) -> impl Future<Output = Result<SharedWrite, SharedStoreError>> + Send;
}
