//! Settings, logs, metrics, HTTP and access to the shared store, used by all mastknot processes.
//!
//! This crate has no feature flags.

mod clock;
mod error;
mod http;
mod logs;
mod metrics;
mod settings;
mod shared_store;
mod signals;
mod store;
mod ticker;

pub use clock::{Clock, suspended_so_far};
pub use error::{NodeError, node_context};
pub use http::{
    BodyError, RequestBody, ResponseBody, empty_response, json_response, plain_client, read_body,
    read_request, stream_response, text_response,
};
pub use http::{
    ChargedBytes, CloseReason, HttpCounts, HttpServer, NoMemory, RequestAccount, RequestLimits,
    ServerLimits,
};
pub use http::{HttpClient, PeerClient, RequestParts, set_up_accepted};
pub use logs::{LogFormat, LogSettings, start_bounded_logs, start_logs};
pub use metrics::{
    LoopDelay, MetricsExporter, counters_text, flatten_counters, latency_histogram, registry_text,
};
pub use settings::{
    CheckSettings, SettingsError, check_address, check_range, check_text, load_settings,
};
pub use shared_store::{
    DIRECTORY_WATCH_WAIT, Directory, DirectorySettings, KnownRevision, OperatorFeedSettings,
    OperatorUpdate, OwnEntry, PersistentStore, PersistentWrite, ProfileCounts, ProfileHolder,
    ProfileSettings, SharedChanges, SharedCheck, SharedItem, SharedLease, SharedList, SharedStore,
    SharedStoreError, SharedWrite, StoreCallCounts, feed_operator_updates, keep_directory,
    keep_profile, read_directory,
};
pub use signals::{ReloadSignals, Signals, StopSignal};
pub use store::{
    StoreCalls, StoreClient, StoreError, StoreReason, StoreWatch, StoredValue, SwapResult,
    WatchEvent, WatchItem,
};
pub use ticker::Ticker;
