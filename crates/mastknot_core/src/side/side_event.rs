use crate::message::{EntryMessage, TaskOutcome};
use crate::types::{NodeName, TaskId};

/// What happens to a side.
#[derive(Clone, Debug)]
pub enum SideEvent {
    /// A link to an entry stands.
    EntryJoined {
        /// The entry.
        entry: NodeName,
    },
    /// The link to an entry broke.
    EntryLeft {
        /// The entry.
        entry: NodeName,
    },
    /// An entry sent a message.
    FromEntry {
        /// The entry.
        entry: NodeName,
        /// What it sent.
        message: EntryMessage,
    },
    /// The target is done with a task.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// The side shall leave: grant nothing more, end what runs.
    Drain,
    /// Time has passed.
    Tick,
}
