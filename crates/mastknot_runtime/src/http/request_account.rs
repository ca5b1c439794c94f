use std::sync::Arc;
use std::time::Duration;

use http::Request;

use super::CloseReason;
use super::connection_state::{ConnectionState, now};
use super::connection_table::ConnectionTable;

/// Account of one request: the place that its connection occupies.
#[derive(Clone, Debug)]
pub struct RequestAccount {
    table: Arc<ConnectionTable>,
    pub(super) state: Arc<ConnectionState>,
}

impl RequestAccount {
    pub(super) fn new(table: Arc<ConnectionTable>, state: Arc<ConnectionState>) -> Self {
        Self { table, state }
    }

    /// Returns the account of a request, which every request of an [`HttpServer`](super::HttpServer) has.
    pub fn of<B>(request: &Request<B>) -> Option<Self> {
        request.extensions().get::<Self>().cloned()
    }

    /// Allows to end the request for others once `time` has passed, although it has arrived whole. Its handler is dropped
    /// then, and its caller gets status 504.
    pub fn allow_end_after(&self, time: Duration) {
        self.state.allow_end_from(now().checked_add(time));
    }

    /// Records why the request is refused or its connection closed.
    pub(super) fn record(&self, reason: CloseReason) {
        self.table.counts().record(reason);
    }
}

/// Place of a connection in the table of its server. Dropping it gives back the place.
pub(super) struct ConnectionPlace(pub(super) RequestAccount);

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.0.table.remove(&self.0.state);
    }
}
