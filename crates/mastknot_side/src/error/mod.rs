//! What can go wrong when a side starts.

mod side_error;

pub use side_error::SideError;
pub(crate) use side_error::*;
