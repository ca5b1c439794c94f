use crate::message::{ConfigDelta, PeerMessage, SideMessage, Submission};
use crate::roster::{MemberId, Roster, WriteDecision};
use crate::types::{Incarnation, Moment, NodeName, SubmissionKey};

/// Matches a reply to a caller's request within one run of an entry.
pub type RequestId = u64;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRequest {
    /// Take a submission, or tell the state of the same one submitted before.
    Submit {
        /// The submission.
        submission: Submission,
        /// Whether to reply with the final answer only.
        wait: bool,
    },
    /// Tell the state of an earlier submission.
    Fetch {
        /// Its key.
        key: SubmissionKey,
        /// Whether to reply with the final answer only.
        wait: bool,
    },
}

/// What happens to an entry.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller asks.
    FromCaller {
        /// Matches the reply.
        request: RequestId,
        /// What is asked.
        ask: CallerRequest,
    },
    /// A caller hung up: its submission goes on and its answer is kept.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A side sent a message.
    FromSide {
        /// The side.
        side: NodeName,
        /// The run of the side at the other end of the link.
        incarnation: Incarnation,
        /// The message.
        message: SideMessage,
    },
    /// The link to a run of a side broke.
    SideLost {
        /// The side.
        side: NodeName,
        /// The run.
        incarnation: Incarnation,
    },
    /// A peer sent a message.
    FromPeer {
        /// The peer.
        peer: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// The link to a peer broke.
    PeerLost {
        /// The peer.
        peer: MemberId,
    },
    /// A run of a peer is proven dead.
    PeerDead {
        /// The peer.
        peer: MemberId,
    },
    /// The store answered a read of the roster.
    RosterRead {
        /// When the read was sent.
        sent_at: Moment,
        /// The store's revision and the roster, none if there is none yet.
        found: Option<(u64, Roster)>,
    },
    /// The store did not answer a read of the roster.
    RosterReadFailed,
    /// The store decided a write of the roster.
    RosterWritten {
        /// What it decided.
        written: WriteDecision,
    },
    /// Configuration from the store's watch or a consistent read.
    Config(ConfigDelta),
    /// A VM is gone from the platform's list after having been on it.
    VmGone {
        /// The name of the side or entry that it carried.
        vm: NodeName,
    },
    /// An operator, or the platform, wants a side to leave.
    DrainSide {
        /// The side.
        side: NodeName,
    },
    /// Stop by plan.
    Stop,
    /// Time has passed.
    Tick,
}
