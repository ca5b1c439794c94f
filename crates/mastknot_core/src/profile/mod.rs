//! Keeping what was learned beyond the life of the processes: when it is written, by whom, and what is made of the store's
//! answers.
//!
//! - [`profile_news`]: whether a change is worth a write
//! - [`ProfileTurn`]: who writes, and when
//! - [`ProfileLedger`]: `next(now, offer) -> call`, and what became of the call

mod profile_call;
mod profile_ledger;
mod profile_offer;
mod profile_read;
mod profile_update;
mod profile_write_schedule;

pub use profile_call::{ProfileCall, ProfileWrite};
pub use profile_ledger::ProfileLedger;
pub use profile_offer::ProfileOffer;
pub use profile_read::ProfileRead;
pub use profile_update::{ProfileUpdate, profile_update};
pub use profile_write_schedule::ProfileWriteSchedule;
