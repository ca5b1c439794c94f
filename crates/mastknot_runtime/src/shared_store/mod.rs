//! The platform's key-value service as the product sees it; adapters implement it.

mod directory_settings;
mod directory_view;
mod drained_view;
mod entry_directory;
mod operator_feed;
mod operator_news;
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
pub use operator_feed::{OperatorFeedSettings, feed_operator_news};
pub use operator_news::OperatorNews;
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
    /// One key's newest value.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<SharedItem>, SharedStoreError>> + Send;

    /// Whether all of these keys still have the revisions that are known; transfers values only if one has not.
    fn check(
        &self,
        known: &[KnownRevision],
    ) -> impl Future<Output = Result<SharedCheck, SharedStoreError>> + Send;

    /// All keys with a prefix.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<SharedList, SharedStoreError>> + Send;

    /// The changes of keys with a prefix after a revision; waits for the first one.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<SharedChanges, SharedStoreError>> + Send;

    /// A new lease.
    fn grant(
        &self,
        time: Duration,
    ) -> impl Future<Output = Result<SharedLease, SharedStoreError>> + Send;

    /// Renews a lease; false if it is over.
    fn renew(
        &self,
        lease: SharedLease,
    ) -> impl Future<Output = Result<bool, SharedStoreError>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(
        &self,
        lease: SharedLease,
    ) -> impl Future<Output = Result<(), SharedStoreError>> + Send;

    /// Writes a key that goes with a lease; only if the key has the `expected` revision, if one is given (0: it is
    /// not there).
    fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: SharedLease,
        expected: Option<u64>,
    ) -> impl Future<Output = Result<SharedWrite, SharedStoreError>> + Send;
}
