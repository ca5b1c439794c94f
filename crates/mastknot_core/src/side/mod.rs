//! Core of a side process: slots, credits, and the record of started tasks.

mod credit_issuer;
mod entry_view;
mod side_core;
mod side_counters;
mod side_effect;
mod side_event;
mod side_settings;
mod start_memory;

pub use side_core::SideCore;
pub use side_counters::SideCounters;
pub use side_effect::SideEffect;
pub use side_event::SideEvent;
pub use side_settings::SideSettings;
