use crate::message::{SideMessage, TaskOrder};
use crate::types::{NodeName, TaskId};

/// Action that a [`SideCore`](super::SideCore) requests from the process that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SideEffect {
    /// Send a message to an entry.
    Send {
        /// Entry that receives the message.
        entry: NodeName,
        /// Message to send.
        message: SideMessage,
    },
    /// Run a task on the target, once.
    Run(TaskOrder),
    /// Stop a task on the target.
    Abort(TaskId),
}
