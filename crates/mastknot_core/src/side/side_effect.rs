use crate::message::{SideMessage, TaskOrder};
use crate::types::{NodeName, TaskId};

/// What a side's shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SideEffect {
    /// Send a message to an entry.
    Send {
        /// The entry.
        entry: NodeName,
        /// The message.
        message: SideMessage,
    },
    /// Run a task on the target, once.
    Run(TaskOrder),
    /// Stop a task at the target.
    Abort(TaskId),
}
