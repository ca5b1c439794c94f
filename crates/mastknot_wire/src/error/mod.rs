//! Errors of links.

mod link_error;

pub use link_error::LinkError;
pub(crate) use link_error::*;
