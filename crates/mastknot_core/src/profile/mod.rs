//! Storage of learned values beyond the lifetime of the processes: when they are written and by
//! which entry, and how the store's answers are handled.
//!
//! - [`profile_update`]: whether a change justifies a write
//! - [`ProfileWriteSchedule`]: which entry writes, and when
//! - [`ProfileLedger`]: `next(now, offer) -> call`, and the handling of the call's result

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
