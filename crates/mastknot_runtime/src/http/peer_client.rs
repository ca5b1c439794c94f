use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use log::info;

use super::{HttpClient, plain_client};

/// Number of consecutive calls without an answer after which the pooled connections are discarded.
///
/// A single unanswered call may be the fault of the peer, and each new connection to a worker has a cost.
/// Without the limit, a side with five silent connections would reach its target only with the sixth call; with it,
/// the third call does (test `peer_client.rs`).
const UNANSWERED_LIMIT: u32 = 2;

/// HTTP client for one peer that discards its pooled connections when they have gone silent without a reset.
///
/// The client never retries a call by itself, because only its caller knows whether a call may be made again.
#[derive(Debug)]
pub struct PeerClient {
    connect_timeout: Duration,
    client: Mutex<HttpClient>,
    unanswered: AtomicU32,
}

impl PeerClient {
    /// Creates a client that waits for a connection for at most `connect_limit`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            client: Mutex::new(plain_client(connect_timeout)),
            unanswered: AtomicU32::new(0),
        }
    }

    /// Returns the HTTP client to use for one call.
    pub fn client(&self) -> HttpClient {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        client.clone()
    }

    /// Records a call that was answered.
    pub fn record_answered(&self) {
        self.unanswered.store(0, Ordering::Relaxed);
    }

    /// Records a call that was not answered in time. After several consecutive ones, further calls use new connections.
    pub fn record_unanswered(&self) {
        let in_a_row = self.unanswered.fetch_add(1, Ordering::Relaxed) + 1;
        if in_a_row.is_multiple_of(UNANSWERED_LIMIT) {
            let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
            *client = plain_client(self.connect_timeout);
            info!(in_a_row; "pooled connections discarded after calls without an answer");
        }
    }
}
