//! Simulation of entries and sides in virtual time.

mod building;
mod callers;
mod delays;
mod entries;
mod fault_injection;
mod message_counts;
mod messages;
mod nodes;
mod schedule;
pub(crate) use schedule::Schedule;
mod sides;
mod virtual_system;

pub use delays::Delays;
pub use message_counts::MessageCounts;
pub use nodes::{EntryIndex, SideIndex};
pub use virtual_system::{SubmittedRequest, VirtualSystem};
