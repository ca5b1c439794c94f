use std::sync::Arc;

use super::connection_state::ConnectionState;
use super::{CloseReason, HttpCounts};

/// State of the connection of a request, and the counts of its listener.
#[derive(Clone, Debug)]
pub(super) struct RequestAccount {
    pub(super) counts: HttpCounts,
    pub(super) state: Arc<ConnectionState>,
}

impl RequestAccount {
    /// Records why the request is refused or its connection closed.
    pub(super) fn record(&self, reason: CloseReason) {
        self.counts.record(reason);
    }
}
