use bincode::{Decode, Encode};

use super::{ConfigDelta, Demand, Digest, Reply, SideCredit, Submission, SubmissionAnswer};
use crate::roster::{Member, Roster};
use crate::types::SubmissionKey;

/// What an earlier holder knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum KeyStatus {
    /// It never accepted the key and, having adopted the asker's roster, never will.
    NeverAccepted,
    /// It holds the key; the reply is its own.
    Held(Reply),
    /// It cannot say.
    Unknown,
}

/// One finished submission, handed over at a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverRecord {
    /// The submission's key.
    pub key: SubmissionKey,
    /// The digest of its content.
    pub digest: Digest,
    /// Its answer.
    pub answer: SubmissionAnswer,
}

/// What entries send each other.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// The first message on a link, in both directions.
    Hello {
        /// The sender.
        member: Member,
        /// The version of the roster it has adopted.
        roster_version: u64,
        /// The highest configuration version in force on it.
        config_version: u64,
    },
    /// Ask for a confirmation that this roster version is still the receiver's.
    Confirm {
        /// Matches the answer to the question.
        nonce: u64,
        /// The version asked about.
        version: u64,
    },
    /// The sender has adopted `version`, has fresh authority and proposes no other.
    Confirmed {
        /// The nonce of the question.
        nonce: u64,
        /// The confirmed version.
        version: u64,
    },
    /// A newer roster, learned from the store.
    NewRoster(Roster),
    /// The sender has adopted a roster version.
    Adopted {
        /// The version.
        version: u64,
    },
    /// A newcomer asks to be written into the roster.
    Join(Member),
    /// A submission for the holder of its key.
    Forward {
        /// Matches the reply to the request.
        request: u64,
        /// Whether the caller waits for the final answer.
        wait: bool,
        /// The submission.
        submission: Submission,
    },
    /// A question for the answer to a key.
    Fetch {
        /// Matches the reply to the request.
        request: u64,
        /// Whether the caller waits for the final answer.
        wait: bool,
        /// The key.
        key: SubmissionKey,
    },
    /// The reply to [`PeerMessage::Forward`] or [`PeerMessage::Fetch`].
    Replied {
        /// The request.
        request: u64,
        /// The reply.
        reply: Reply,
    },
    /// A new holder asks an earlier one about a key.
    AskKey {
        /// Matches the answer to the question.
        request: u64,
        /// The asker's roster version.
        version: u64,
        /// The key.
        key: SubmissionKey,
        /// The digest of what was resubmitted.
        digest: Digest,
        /// Whether the caller waits for the final answer.
        wait: bool,
    },
    /// The answer to [`PeerMessage::AskKey`].
    KeyKnown {
        /// The question.
        request: u64,
        /// What is known.
        status: KeyStatus,
    },
    /// Finished submissions of an entry that stops.
    Handover {
        /// The records.
        records: Vec<HandoverRecord>,
        /// Whether these are the last ones.
        is_complete: bool,
    },
    /// The sender has tasks waiting and too few credits.
    WantCredits {
        /// How many it can use at once, and for what.
        demand: Demand,
        /// The tasks that it runs.
        running: u32,
    },
    /// Idle credits that the sender gives up to the receiver.
    Lend {
        /// The credits.
        credits: Vec<SideCredit>,
    },
    /// Configuration that the sender has in force.
    Config(ConfigDelta),
    /// The sender's configuration version and its nodes' (for the status "in force").
    ConfigInForce {
        /// The sender's version.
        version: u64,
        /// How many of the sides that count at this entry are at least at this version.
        sides_at: u32,
        /// How many sides count at this entry.
        sides: u32,
    },
    /// The starts that are running for each team at the sender.
    TeamUse {
        /// Team and running tasks.
        running: Vec<(crate::types::NodeName, u32)>,
    },
}
