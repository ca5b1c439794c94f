//! What can go wrong when an entry starts.

mod entry_error;

pub use entry_error::EntryError;
pub(crate) use entry_error::*;
