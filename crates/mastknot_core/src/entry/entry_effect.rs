use super::RequestId;
use crate::message::{EntryMessage, PeerMessage, Reply};
use crate::roster::{Roster, RosterWrite};
use crate::types::NodeName;

/// What an entry's shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEffect {
    /// Reply to a caller.
    Reply {
        /// The caller's request.
        request: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// Send to a side.
    ToSide {
        /// The side.
        side: NodeName,
        /// The message.
        message: EntryMessage,
    },
    /// Send to a peer.
    ToPeer {
        /// The peer.
        peer: NodeName,
        /// The message.
        message: PeerMessage,
    },
    /// Read the roster from the store.
    ReadRoster,
    /// Write the roster to the store.
    WriteRoster(RosterWrite),
    /// Another roster is in force: connect to its members.
    RosterAdopted(Roster),
    /// The configuration in force has changed.
    ConfigAdvanced {
        /// Its version.
        version: u64,
    },
    /// Everything is answered and handed over: the process may end.
    Stopped,
}
