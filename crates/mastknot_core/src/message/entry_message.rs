use bincode::{Decode, Encode};

use super::{ConfigDelta, CreditSeq, Demand, TaskOrder};
use crate::types::{Incarnation, NodeName, SubmissionKey};

/// Message from an entry to a side.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum EntryMessage {
    /// First message on a link.
    Welcome {
        /// Name of the entry.
        entry: NodeName,
        /// Incarnation of the entry.
        incarnation: Incarnation,
        /// Addresses of all entries in the roster, so that the side can connect to them.
        entries: Vec<String>,
    },
    /// Starts a task with a credit.
    Start {
        /// Incarnation of the side that granted the credit.
        incarnation: Incarnation,
        /// The credit.
        credit: CreditSeq,
        /// The task.
        order: TaskOrder,
        /// Demand for credits of the work that still waits at the entry.
        demand: Demand,
    },
    /// Returns idle credits and reports the demand for new ones.
    Exchange {
        /// Incarnation of the side that granted the credits.
        incarnation: Incarnation,
        /// Credits that the entry will not spend.
        returned: Vec<CreditSeq>,
        /// Demand for new credits.
        demand: Demand,
    },
    /// Stops the running tasks of a submission whose answer is no longer wanted.
    Stop {
        /// Key of the submission.
        key: SubmissionKey,
    },
    /// Configuration to put in force.
    Config(ConfigDelta),
    /// Asks which tasks of a submission the side remembers.
    Recall {
        /// Key of the submission.
        key: SubmissionKey,
    },
    /// Asks the side to leave, on the operators' request.
    Drain,
}
