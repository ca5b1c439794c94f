//! Links: one h2 stream in each direction between two processes.

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

/// What a link is for; the path of its request says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// A side dials an entry.
    Side,
    /// An entry dials an entry.
    Peer,
    /// A side that runs sized tasks under leases dials an entry.
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

/// Both ends of a link as one process holds them.
#[derive(Debug)]
pub struct Link<S, R> {
    /// Sends messages.
    pub sender: LinkSender<S>,
    /// Receives messages.
    pub receiver: LinkReceiver<R>,
}

/// The h2 window of one stream and of one connection, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 4 * 1024 * 1024;
