use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use log::info;

use super::{HttpClient, plain_client};

/// After so many calls in a row without an answer the kept connections are given up. One may be the peer's fault and a
/// new connection to a worker is priced; with five connections that have gone silent a side found its target again at the
/// sixth call, now at the third (`peer_client.rs`).
const UNANSWERED_LIMIT: u32 = 2;

/// A client of one peer that does not wait behind connections which have gone silent without a reset.
///
/// It repeats nothing by itself: whether a call may be made again is its caller's to decide.
#[derive(Debug)]
pub struct PeerClient {
    connect_limit: Duration,
    client: Mutex<HttpClient>,
    unanswered: AtomicU32,
}

impl PeerClient {
    /// A client that gives up on a connection after `connect_limit`.
    pub fn new(connect_limit: Duration) -> Self {
        Self {
            connect_limit,
            client: Mutex::new(plain_client(connect_limit)),
            unanswered: AtomicU32::new(0),
        }
    }

    /// The client for one call.
    pub fn client(&self) -> HttpClient {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        client.clone()
    }

    /// A call had an answer.
    pub fn note_answered(&self) {
        self.unanswered.store(0, Ordering::Relaxed);
    }

    /// A call had no answer within its time: the next ones use new connections if this was not the first in a row.
    pub fn note_unanswered(&self) {
        let in_a_row = self.unanswered.fetch_add(1, Ordering::Relaxed) + 1;
        if in_a_row.is_multiple_of(UNANSWERED_LIMIT) {
            let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
            *client = plain_client(self.connect_limit);
            info!(in_a_row; "kept connections given up: calls without an answer");
        }
    }
}
