//! What can go wrong when a process starts.

mod node_error;

pub use node_error::NodeError;

/// The context selectors of [`NodeError`].
pub mod node_context {
    pub use super::node_error::{ListenSnafu, StartSnafu};
}
