use bincode::{Decode, Encode};

use super::{ConfigDelta, Demand, Digest, Reply, SideCredit, Submission, SubmissionAnswer};
use crate::roster::{Member, Roster};
use crate::types::SubmissionKey;

/// Answer of an earlier holder to a question about a key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum KeyStatus {
    /// The entry never accepted the key. It has adopted the asker's roster, so it never will.
    NeverAccepted,
    /// The entry holds the key and sends its reply.
    Held(Reply),
    /// The entry cannot tell whether the key was accepted.
    Unknown,
}

/// One finished submission, handed over at a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverRecord {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Digest of its content.
    pub digest: Digest,
    /// Answer to the submission.
    pub answer: SubmissionAnswer,
}

/// Message between two entries.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// First message on a link, sent in both directions.
    Hello {
        /// The sender.
        member: Member,
        /// Version of the roster that the sender has adopted.
        roster_version: u64,
        /// Highest configuration version in force at the sender.
        config_version: u64,
    },
    /// Asks whether the receiver still has this roster version in force.
    Confirm {
        /// Number that matches the confirmation to the request.
        nonce: u64,
        /// Roster version to confirm.
        version: u64,
    },
    /// Confirms that the sender has adopted `version`, has fresh authority and proposes no other
    /// version.
    Confirmed {
        /// Nonce of the request.
        nonce: u64,
        /// The confirmed version.
        version: u64,
    },
    /// A newer roster, read from the store.
    NewRoster(Roster),
    /// Reports that the sender has adopted a roster version.
    Adopted {
        /// The adopted version.
        version: u64,
    },
    /// Asks for the sender, a new entry, to be written into the roster.
    Join(Member),
    /// Submission for the holder of its key.
    Forward {
        /// Number that matches the reply to the request.
        request: u64,
        /// Whether the caller waits for the final answer.
        wait: bool,
        /// The submission.
        submission: Submission,
    },
    /// Asks for the answer to a key.
    Fetch {
        /// Number that matches the reply to the request.
        request: u64,
        /// Whether the caller waits for the final answer.
        wait: bool,
        /// Key of the submission.
        key: SubmissionKey,
    },
    /// Reply to [`PeerMessage::Forward`] or [`PeerMessage::Fetch`].
    Replied {
        /// Number of the request.
        request: u64,
        /// The reply.
        reply: Reply,
    },
    /// Question of a new holder to an earlier one about a key.
    AskKey {
        /// Number of the question, which the answer repeats.
        request: u64,
        /// Roster version of the asker.
        version: u64,
        /// Key of the submission.
        key: SubmissionKey,
        /// Digest of the resubmitted content.
        digest: Digest,
        /// Whether the caller waits for the final answer.
        wait: bool,
    },
    /// Answer to [`PeerMessage::AskKey`].
    KeyKnown {
        /// Number of the question.
        request: u64,
        /// State of the key at the earlier holder.
        status: KeyStatus,
    },
    /// Finished submissions of an entry that is stopping.
    Handover {
        /// The submissions with their answers.
        records: Vec<HandoverRecord>,
        /// Whether these are the last records.
        is_complete: bool,
    },
    /// Reports that the sender has waiting tasks and too few credits.
    WantCredits {
        /// Number of credits that the sender can use now, and the urgency of its work.
        demand: Demand,
        /// Number of tasks that the sender is running.
        running: u32,
    },
    /// Idle credits that the sender gives up to the receiver.
    Lend {
        /// The credits.
        credits: Vec<SideCredit>,
    },
    /// Configuration that the sender has in force.
    Config(ConfigDelta),
    /// Configuration versions of the sender and its sides, for the status "in force".
    ConfigInForce {
        /// Version in force at the sender.
        version: u64,
        /// Number of sides counted at this entry that have at least this version.
        sides_at: u32,
        /// Number of sides counted at this entry.
        sides: u32,
    },
    /// Number of running tasks per team at the sender.
    TeamUse {
        /// Teams with their running tasks.
        running: Vec<(crate::types::NodeName, u32)>,
    },
}
