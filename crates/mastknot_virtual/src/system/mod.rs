//! Entries and sides in virtual time.

mod delays;
mod message_counts;
mod nodes;
mod schedule;
mod virtual_system;

pub use delays::Delays;
pub use message_counts::MessageCounts;
pub use nodes::{EntryIndex, SideIndex};
pub use virtual_system::{Submitted, VirtualSystem};
