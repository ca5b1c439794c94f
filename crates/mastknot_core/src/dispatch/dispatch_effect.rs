use crate::decision::Decision;
use crate::message::{Demand, EntryMessage, Refusal, SideCredit, SubmissionAnswer};
use crate::types::{NodeName, SubmissionKey};

/// Outcome of a submission at the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// The submission has its final answer.
    Answered(SubmissionAnswer),
    /// The submission was refused after it had been queued, and none of its tasks ran.
    Refused(Refusal),
}

/// Action that the dispatcher requests from the entry.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEffect {
    /// Send a message to a side.
    ToSide {
        /// Name of the side.
        side: NodeName,
        /// Message to send.
        message: EntryMessage,
    },
    /// Request credits from every peer.
    RequestCredits {
        /// Number of credits that can be used at once, and the urgency of the tasks that need them.
        demand: Demand,
        /// Number of tasks that this entry runs.
        running: u32,
    },
    /// Lend credits to a peer that has more urgent tasks.
    Lend {
        /// Name of the peer.
        peer: NodeName,
        /// Credits to lend.
        credits: Vec<SideCredit>,
    },
    /// A submission has ended.
    Ended {
        /// Key of the submission.
        key: SubmissionKey,
        /// Outcome of the submission.
        outcome: SubmissionOutcome,
    },
    /// Record a decision, so that operators can look up later why it was made.
    RecordDecision(Decision),
}
