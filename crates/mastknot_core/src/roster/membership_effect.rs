use super::Roster;
use crate::message::PeerMessage;
use crate::types::NodeName;

/// Compare-and-swap of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterWrite {
    /// Store's revision of the roster to replace; zero if there is none.
    pub expected_revision: u64,
    /// The new roster.
    pub roster: Roster,
}

/// Decision of the store on a [`RosterWrite`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDecision {
    /// The write took effect at this revision.
    Written(u64),
    /// Another write, or an earlier copy of this one, came first.
    Superseded,
}

/// Effect that the membership requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send a message to one peer.
    ToPeer {
        /// Name of the peer.
        peer: NodeName,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message to every connected peer.
    ToPeers(PeerMessage),
    /// Read the roster from the store with a consistent read.
    ReadRoster,
    /// Write the roster to the store.
    WriteRoster(RosterWrite),
    /// Connect to the members of this roster, which has been adopted.
    Adopted(Roster),
}
