use crate::message::{ConfigDelta, PeerMessage, SideMessage, Submission};
use crate::roster::{MemberId, Roster, WriteDecision};
use crate::types::{Incarnation, Moment, NodeName, SubmissionKey};

/// Identifier of a caller's request, unique within one incarnation of an entry. The reply carries
/// the same identifier.
pub type RequestId = u64;

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRequest {
    /// Accept a submission, or report the state of the same submission if its key is known.
    Submit {
        /// Submission to accept.
        submission: Submission,
        /// Whether to reply only when the final answer is known.
        wait: bool,
    },
    /// Report the state of an earlier submission.
    Fetch {
        /// Key of the submission.
        key: SubmissionKey,
        /// Whether to reply only when the final answer is known.
        wait: bool,
    },
}

/// Input of an entry core.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller sent a request.
    FromCaller {
        /// Identifier of the request, which the reply carries.
        request: RequestId,
        /// Content of the request.
        ask: CallerRequest,
    },
    /// A caller disconnected. Its submission continues, and the answer is kept.
    CallerGone {
        /// Identifier of the caller's request.
        request: RequestId,
    },
    /// A side sent a message.
    FromSide {
        /// Name of the side.
        side: NodeName,
        /// Incarnation of the side at the other end of the link.
        incarnation: Incarnation,
        /// Message received.
        message: SideMessage,
    },
    /// The link to an incarnation of a side was lost.
    SideLost {
        /// Name of the side.
        side: NodeName,
        /// Incarnation of the side at the other end of the link.
        incarnation: Incarnation,
    },
    /// A peer sent a message.
    FromPeer {
        /// Identity of the peer.
        peer: MemberId,
        /// Message received.
        message: PeerMessage,
    },
    /// The link to a peer was lost.
    PeerLost {
        /// Identity of the peer.
        peer: MemberId,
    },
    /// The process of an incarnation of a peer is known to have ended.
    PeerDead {
        /// Identity of the peer.
        peer: MemberId,
    },
    /// The store answered a read of the roster.
    RosterRead {
        /// Time at which the read was sent.
        sent_at: Moment,
        /// Revision of the store and the roster; `None` if the store has no roster yet.
        found: Option<(u64, Roster)>,
    },
    /// The store did not answer a read of the roster.
    RosterReadFailed,
    /// The store answered a write of the roster.
    RosterWritten {
        /// Decision of the store.
        written: WriteDecision,
    },
    /// Configuration from the store, received through a watch or a consistent read.
    Config(ConfigDelta),
    /// A VM that was on the platform's list is missing from it.
    VmGone {
        /// Name of the side or entry that runs on the VM.
        vm: NodeName,
    },
    /// An operator or the platform requests that a side leaves.
    DrainSide {
        /// Name of the side.
        side: NodeName,
    },
    /// Begin the planned stop.
    Stop,
    /// Time has passed; see [`EntryCore::next_tick`](super::EntryCore::next_tick).
    Tick,
}
