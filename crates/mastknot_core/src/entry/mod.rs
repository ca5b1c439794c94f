//! The core of an entry, which combines all of its parts behind one `step`.

mod callers;
mod config_status;
mod entry_core;
mod entry_counters;
mod entry_effect;
mod entry_event;
mod entry_settings;
mod peers;
mod rebuild;
mod sides;
mod stop;

pub use config_status::ConfigStatus;
#[doc(hidden)]
pub use entry_core::DisabledCheck;
pub use entry_core::{EntryCore, LiveSubmission};
pub use entry_counters::EntryCounters;
pub use entry_effect::EntryEffect;
pub use entry_event::{CallerRequest, EntryEvent, RequestId};
pub use entry_settings::EntrySettings;
