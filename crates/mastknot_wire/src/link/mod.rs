//! Links between two processes, each of which is one h2 stream with messages in both directions.

mod dial;
mod link_receiver;
mod link_sender;
mod link_stats;
mod listen;
mod socket;
mod traffic_log;

pub use dial::connect;
pub use link_receiver::LinkReceiver;
pub use link_sender::LinkSender;
pub use link_stats::LinkStats;
pub use listen::{Accepted, accept};
pub use traffic_log::log_link_traffic;

/// Purpose of a link, which the path of its request identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Link from a side to an entry.
    Side,
    /// Link from an entry to another entry.
    Peer,
    /// Link to an entry from a side that runs tasks with capacity requirements under leases.
    Agent,
}

impl LinkKind {
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Side => "/mastknot/side",
            Self::Peer => "/mastknot/peer",
            Self::Agent => "/mastknot/agent",
        }
    }

    pub(crate) fn from_path(path: &str) -> Option<Self> {
        [Self::Side, Self::Peer, Self::Agent]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

/// Both halves of a link, as one process holds them.
#[derive(Debug)]
pub struct Link<S, R> {
    /// Sending half.
    pub sender: LinkSender<S>,
    /// Receiving half.
    pub receiver: LinkReceiver<R>,
}

/// Size of the h2 flow-control window of a stream and of a connection, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 4 * 1024 * 1024;
