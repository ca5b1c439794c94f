//! Errors at the start of a process.

mod node_error;

pub use node_error::NodeError;

/// Context selectors of [`NodeError`].
pub mod node_context {
    pub use super::node_error::{ListenSnafu, StartSnafu};
}
