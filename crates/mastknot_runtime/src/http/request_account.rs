use std::io::Error;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use snafu::Snafu;

use super::connection_state::{ConnectionState, now};
use super::connection_table::ConnectionTable;
use super::{CloseReason, RequestLimits};

/// There is no memory for a request, and no other connection can make room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("there is no memory for the request"))]
pub struct NoMemory;

/// Account of one request: what it makes this process hold is charged to its connection.
#[derive(Clone, Debug)]
pub struct RequestAccount {
    table: Arc<ConnectionTable>,
    pub(super) state: Arc<ConnectionState>,
}

/// Bytes that a connection is charged with until the value is dropped.
#[derive(Debug)]
pub struct ChargedBytes {
    account: RequestAccount,
    bytes: usize,
}

impl RequestAccount {
    pub(super) fn new(table: Arc<ConnectionTable>, state: Arc<ConnectionState>) -> Self {
        Self { table, state }
    }

    /// Returns the account of a request, which every request of an [`HttpServer`](super::HttpServer) has.
    pub fn of<B>(request: &Request<B>) -> Option<Self> {
        request.extensions().get::<Self>().cloned()
    }

    /// Charges the connection with what its request holds. Connections without a whole request are closed if there is
    /// no other room.
    pub fn charge(&self, bytes: usize) -> Result<ChargedBytes, NoMemory> {
        let mut charged = self.start_charge();
        let grown = charged.grow(bytes);
        if grown.is_err() {
            self.record(CloseReason::NoMemory);
        }
        grown.map(|()| charged)
    }

    /// Allows to end the request for others once `time` has passed, although it has arrived whole. Its handler is dropped
    /// then, and its caller gets status 504.
    pub fn allow_end_after(&self, time: Duration) {
        self.state.allow_end_from(now().checked_add(time));
    }

    /// Returns a charge of nothing yet.
    pub(super) fn start_charge(&self) -> ChargedBytes {
        ChargedBytes {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Records why the request is refused or its connection closed.
    pub(super) fn record(&self, reason: CloseReason) {
        self.table.counts().record(reason);
    }

    /// Returns how many bytes of the connection may be read now. Charges it with the buffer of a head.
    ///
    /// Fails if the head is longer than allowed or there is no memory for it.
    pub(super) fn allow_read(&self, limits: &RequestLimits) -> Result<usize, Error> {
        let head = self.state.grow_head_charge(limits);
        if head > 0 && !self.table.charge(&self.state, head) {
            self.state.refuse_memory();
            return Err(Error::other(NoMemory));
        }
        let allowed = self.state.allowed_read(limits);
        allowed.ok_or_else(|| Error::other("the head is longer than allowed"))
    }
}

impl ChargedBytes {
    /// Charges with more bytes.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), NoMemory> {
        if bytes > 0 && !self.account.table.charge(&self.account.state, bytes) {
            return Err(NoMemory);
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for ChargedBytes {
    fn drop(&mut self) {
        self.account
            .table
            .discharge(&self.account.state, self.bytes);
    }
}

/// Place of a connection in the table of its server. Dropping it gives back the place and all that the connection is
/// charged with.
pub(super) struct ConnectionPlace(pub(super) RequestAccount);

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.0.table.remove(&self.0.state);
    }
}
