use bincode::{Decode, Encode};

use super::{ConfigDelta, CreditSeq, Demand, TaskOrder};
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
        /// What still waits at the entry.
        demand: Demand,
    },
    /// Give idle credits back and say how many new ones are wanted.
    Exchange {
        /// The run of the side that granted the credits.
        incarnation: Incarnation,
        /// The credits that the entry will not spend.
        returned: Vec<CreditSeq>,
        /// The new credits that the entry would keep.
        demand: Demand,
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
