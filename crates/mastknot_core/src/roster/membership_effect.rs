use super::Roster;
use crate::message::PeerMessage;
use crate::types::NodeName;

/// A compare-and-swap of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterWrite {
    /// The store's revision of the roster that is replaced; zero if there is none.
    pub expected_revision: u64,
    /// The new roster.
    pub roster: Roster,
}

/// What the store decided about a [`RosterWrite`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDecision {
    /// It took effect at this revision.
    Written(u64),
    /// Another write, or an earlier copy of this one, came first.
    Superseded,
}

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send to one peer.
    ToPeer {
        /// The peer.
        peer: NodeName,
        /// The message.
        message: PeerMessage,
    },
    /// Send to every connected peer.
    ToPeers(PeerMessage),
    /// Read the roster from the store, consistently.
    ReadRoster,
    /// Write the roster to the store.
    WriteRoster(RosterWrite),
    /// Another version is in force here: connect to its members.
    Adopted(Roster),
}
