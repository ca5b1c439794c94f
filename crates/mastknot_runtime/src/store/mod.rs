//! Client of an etcd key-value store, through the JSON gateway of its v3 API.

mod store_calls;
mod store_client;
mod store_error;
mod store_watch;
mod wire;

pub use store_calls::{StoreCalls, StoreReason};
pub use store_client::{StoreClient, StoredValue, SwapResult};
pub use store_error::StoreError;
pub use store_watch::{StoreWatch, WatchEvent, WatchItem};
