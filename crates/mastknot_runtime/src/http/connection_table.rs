use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use super::connection_state::{ConnectionState, now};
use super::{CloseReason, HttpCounts, ServerLimits};

/// Memory of a connection that has said nothing, in bytes: what the kernel may receive for it, its socket and its task.
const CONNECTION_BYTES: usize = 32_768;

/// The open connections of one listener and the one budget of bytes for all that they make this process hold.
///
/// A connection is charged from its start to its end: for what the kernel may receive for it, for the buffer of its
/// head, for the part of a body that has arrived, and for the job until it is answered. When the budget or the number
/// of connections is spent, the connection without a whole request that held the most for the longest time is closed.
/// A request that has arrived whole is ended for others only after the time that its handler allows.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    max_connections: usize,
    max_bytes: usize,
    counts: HttpCounts,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    bytes: usize,
    connections: HashMap<u64, Arc<ConnectionState>>,
}

impl ConnectionTable {
    pub(super) fn new(limits: &ServerLimits) -> Self {
        Self {
            max_connections: limits.connections,
            max_bytes: limits.memory_bytes,
            counts: limits.counts.clone(),
            open: Mutex::default(),
        }
    }

    pub(super) fn counts(&self) -> &HttpCounts {
        &self.counts
    }

    /// Gives a new connection a place. Returns `None` if there is none and nothing can make room.
    pub(super) fn admit(&self) -> Option<Arc<ConnectionState>> {
        let mut open = self.lock();
        while open.connections.len() >= self.max_connections && self.evict(&mut open) {}
        let has_place = open.connections.len() < self.max_connections;
        if !has_place || !self.make_room(&mut open, CONNECTION_BYTES) {
            self.counts.record(CloseReason::NoPlace);
            return None;
        }
        open.bytes += CONNECTION_BYTES;
        open.next_id += 1;
        let id = open.next_id;
        let state = Arc::new(ConnectionState::new(id));
        open.connections.insert(id, Arc::clone(&state));
        self.record_held(&open);
        Some(state)
    }

    /// Charges a connection with more bytes. Returns whether there is room; other connections may be closed for it.
    pub(super) fn charge(&self, state: &ConnectionState, bytes: usize) -> bool {
        let mut open = self.lock();
        let has_room = self.make_room(&mut open, bytes) && !state.is_evicted();
        if has_room {
            open.bytes += bytes;
            state.add_charge(bytes);
            self.record_held(&open);
        }
        has_room
    }

    /// Takes back a part of what a connection was charged with.
    pub(super) fn discharge(&self, state: &ConnectionState, bytes: usize) {
        let mut open = self.lock();
        // An evicted connection was charged with less since then.
        open.bytes -= state.remove_charge(bytes);
        self.record_held(&open);
    }

    /// Removes a connection that has ended, with all that it is still charged with.
    pub(super) fn remove(&self, state: &ConnectionState) {
        let mut open = self.lock();
        let charged = state.remove_charge(usize::MAX);
        if open.connections.remove(&state.id()).is_some() {
            open.bytes -= CONNECTION_BYTES;
        }
        open.bytes -= charged;
        self.record_held(&open);
    }

    /// Closes connections until there is room for `bytes` more. Returns whether there is.
    fn make_room(&self, open: &mut Open, bytes: usize) -> bool {
        while open.bytes + bytes > self.max_bytes {
            if !self.evict(open) {
                return false;
            }
        }
        true
    }

    /// Closes the connection without a whole request that held the most for the longest time. Returns whether there is
    /// one.
    fn evict(&self, open: &mut Open) -> bool {
        let at = now();
        let weight = |state: &Arc<ConnectionState>| weight(state, at);
        let heaviest = open.connections.values().filter_map(weight).max();
        let Some((_, id)) = heaviest else {
            return false;
        };
        if let Some(state) = open.connections.remove(&id) {
            open.bytes -= CONNECTION_BYTES + state.evict();
            self.counts.record(CloseReason::RoomForOthers);
        }
        true
    }

    fn record_held(&self, open: &Open) {
        self.counts.record_held(open.connections.len(), open.bytes);
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what a connection holds times how long, in byte milliseconds, and its id; `None` if it may not be closed.
fn weight(state: &ConnectionState, at: Instant) -> Option<(u128, u64)> {
    let held = state.held_since(at)?;
    let millis = at.saturating_duration_since(held.since).as_millis() + 1;
    let bytes = (CONNECTION_BYTES + held.bytes) as u128;
    Some((bytes * millis, state.id()))
}
