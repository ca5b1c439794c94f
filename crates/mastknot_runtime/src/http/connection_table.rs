use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::connection_state::{ConnectionState, now};
use super::{CloseReason, HttpCounts, ServerLimits};

/// The open connections of one listener, whose number is limited.
///
/// When all places are taken, the connection without a whole request that has been so for the longest time is closed. A
/// request that has arrived whole is ended for others only after the time that its handler allows.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    max_connections: usize,
    counts: HttpCounts,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    connections: HashMap<u64, Arc<ConnectionState>>,
}

impl ConnectionTable {
    pub(super) fn new(limits: &ServerLimits) -> Self {
        Self {
            max_connections: limits.connections,
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
        if open.connections.len() >= self.max_connections {
            self.counts.record(CloseReason::NoPlace);
            return None;
        }
        open.next_id += 1;
        let id = open.next_id;
        let state = Arc::new(ConnectionState::new(id));
        open.connections.insert(id, Arc::clone(&state));
        self.record_open(&open);
        Some(state)
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, state: &ConnectionState) {
        let mut open = self.lock();
        open.connections.remove(&state.id());
        self.record_open(&open);
    }

    /// Closes the connection that has been without a whole request for the longest time. Returns whether there is one.
    fn evict(&self, open: &mut Open) -> bool {
        let at = now();
        let since = |state: &Arc<ConnectionState>| Some((state.may_end_since(at)?, state.id()));
        let Some((_, id)) = open.connections.values().filter_map(since).min() else {
            return false;
        };
        if let Some(state) = open.connections.remove(&id) {
            state.evict();
            self.counts.record(CloseReason::RoomForOthers);
        }
        true
    }

    fn record_open(&self, open: &Open) {
        self.counts.record_open(open.connections.len());
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
