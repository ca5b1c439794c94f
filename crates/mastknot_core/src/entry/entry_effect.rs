use super::RequestId;
use crate::message::{EntryMessage, PeerMessage, Reply};
use crate::roster::{Roster, RosterWrite};
use crate::types::NodeName;

/// Action that an entry core requests from its process.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEffect {
    /// Reply to a caller.
    Reply {
        /// Identifier of the caller's request.
        request: RequestId,
        /// Reply to send.
        reply: Reply,
    },
    /// Send a message to a side.
    ToSide {
        /// Name of the side.
        side: NodeName,
        /// Message to send.
        message: EntryMessage,
    },
    /// Send a message to a peer.
    ToPeer {
        /// Name of the peer.
        peer: NodeName,
        /// Message to send.
        message: PeerMessage,
    },
    /// Read the roster from the store.
    ReadRoster,
    /// Write the roster to the store.
    WriteRoster(RosterWrite),
    /// A new roster is in force: connect to its members.
    RosterAdopted(Roster),
    /// A newer configuration is in force.
    ConfigAdvanced {
        /// Version of the configuration.
        version: u64,
    },
    /// All submissions are answered and handed over, so the process may end.
    Stopped,
}
