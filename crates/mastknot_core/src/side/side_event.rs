use crate::message::{EntryMessage, TaskOutcome};
use crate::types::{NodeName, TaskId};

/// Input of a [`SideCore`](super::SideCore).
#[derive(Clone, Debug)]
pub enum SideEvent {
    /// A link to an entry was established.
    EntryJoined {
        /// Entry that was connected.
        entry: NodeName,
    },
    /// The link to an entry was closed.
    EntryLeft {
        /// Entry that was disconnected.
        entry: NodeName,
    },
    /// An entry sent a message.
    FromEntry {
        /// Entry that sent the message.
        entry: NodeName,
        /// Message as the entry sent it.
        message: EntryMessage,
    },
    /// A task ended on the target.
    TaskEnded {
        /// Task that ended.
        task: TaskId,
        /// Outcome of the task.
        outcome: TaskOutcome,
    },
    /// The side has to shut down: it grants no further credits and lets running tasks end.
    Drain,
    /// Time has passed.
    Tick,
}
