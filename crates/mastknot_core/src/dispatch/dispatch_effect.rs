use crate::decision::Decision;
use crate::message::{Demand, EntryMessage, Refusal, SideCredit, SubmissionAnswer};
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
    /// Ask every peer for credits.
    AskPeers {
        /// How many can be used at once, and for what.
        demand: Demand,
        /// The tasks that run here.
        running: u32,
    },
    /// Give credits up to a peer that has something more urgent.
    Lend {
        /// The peer.
        peer: NodeName,
        /// The credits.
        credits: Vec<SideCredit>,
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
