use crate::decision::Decision;
use crate::message::{EntryMessage, Refusal, SubmissionAnswer};
use crate::types::{NodeName, SubmissionKey};

/// How the dispatcher is done with a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has its final answer.
    Answered(SubmissionAnswer),
    /// It was given up on before anything of it started.
    Refused(Refusal),
}

/// What the dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEffect {
    /// Send a message to a side.
    ToSide {
        /// The side.
        side: NodeName,
        /// The message.
        message: EntryMessage,
    },
    /// Ask every peer for idle credits.
    AskPeers {
        /// How many can be used at once.
        wanted: u32,
    },
    /// A submission has ended.
    Ended {
        /// The submission.
        key: SubmissionKey,
        /// How.
        verdict: Verdict,
    },
    /// A decision to keep for those who ask why.
    Decided(Decision),
}
