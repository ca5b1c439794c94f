//! What can go wrong on a link.

mod link_error;

pub use link_error::LinkError;
pub(crate) use link_error::*;
