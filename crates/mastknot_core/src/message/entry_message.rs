use bincode::{Decode, Encode};

use super::{ConfigDelta, CreditSeq, TaskOrder};
use crate::types::{Incarnation, NodeName, SubmissionKey};

/// What an entry sends to a side.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum EntryMessage {
    /// The first message on a link.
    Welcome {
        /// The entry's name.
        entry: NodeName,
        /// The run of the entry.
        incarnation: Incarnation,
        /// The addresses of all entries of the roster, so that the side can join them.
        entries: Vec<String>,
    },
    /// Start a task on a credit.
    Start {
        /// The run of the side that granted the credit.
        incarnation: Incarnation,
        /// The credit.
        credit: CreditSeq,
        /// The task.
        order: TaskOrder,
        /// Tasks that still wait at the entry.
        waiting: u32,
    },
    /// Give idle credits back and say how many new ones are wanted.
    Exchange {
        /// The run of the side that granted the credits.
        incarnation: Incarnation,
        /// The credits that the entry will not spend.
        returned: Vec<CreditSeq>,
        /// How many new credits the entry would keep.
        wanted: u32,
    },
    /// Stop what runs of a submission; its answer is no longer wanted.
    Stop {
        /// The submission.
        key: SubmissionKey,
    },
    /// Configuration to put in force.
    Config(ConfigDelta),
    /// Ask what the side remembers of a submission.
    Recall {
        /// The submission.
        key: SubmissionKey,
    },
    /// The operators want the side to leave.
    Drain,
}
