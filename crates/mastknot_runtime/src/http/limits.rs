use std::time::Duration;

use tokio::sync::watch;

use super::HttpCounts;

/// Largest head that any limit allows, in bytes. Larger limits are clamped to it.
pub(super) const MAX_HEAD_BYTES: usize = 1_048_576;
/// Limit of heads, in bytes, where nobody states one.
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// Time for a head where nobody states one.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(5);
/// Longest rest of a connection where nobody states one: longer than clients keep unused connections.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(60);
/// Number of connections of a listener where nobody states one.
const DEFAULT_CONNECTIONS: usize = 4_096;
/// Memory for the connections of a listener where nobody states one, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 268_435_456;
/// Number of connections of a listener that has a few known peers.
const FEW_CONNECTIONS: usize = 64;
/// Memory for the connections of a listener that has a few known peers, in bytes.
const FEW_MEMORY_BYTES: usize = 4_194_304;

/// Limits of the requests on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_time: Duration,
    /// Maximum time for which a connection may rest without a request.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            head_time: DEFAULT_HEAD_TIME,
            idle_time: DEFAULT_IDLE_TIME,
        }
    }
}

/// Limits of all connections of one listener.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Limits of the requests. A new value is in force at once, on open connections too.
    pub requests: watch::Receiver<RequestLimits>,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum of what the connections may make this process hold, in bytes: what has arrived unread, buffers, and
    /// what handlers hold for requests that are not answered.
    pub memory_bytes: usize,
    /// Counts of the listener's connections and of those that were refused or closed.
    pub counts: HttpCounts,
}

impl ServerLimits {
    /// Returns the limits of a listener that has a few known peers.
    pub fn for_few_peers() -> Self {
        Self {
            connections: FEW_CONNECTIONS,
            memory_bytes: FEW_MEMORY_BYTES,
            ..Self::default()
        }
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        let (_, requests) = watch::channel(RequestLimits::default());
        Self {
            requests,
            connections: DEFAULT_CONNECTIONS,
            memory_bytes: DEFAULT_MEMORY_BYTES,
            counts: HttpCounts::default(),
        }
    }
}
