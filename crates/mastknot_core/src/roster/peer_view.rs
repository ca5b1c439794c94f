use crate::types::{Incarnation, Moment};

/// An entry's knowledge of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// Highest known incarnation of the peer.
    pub(crate) incarnation: Incarnation,
    /// Whether the peer is connected.
    pub(crate) is_connected: bool,
    /// Time of the last message from the peer.
    pub(crate) last_received_at: Moment,
    /// Roster version that the peer has adopted.
    pub(crate) adopted: u64,
    /// Highest incarnation that is proven dead, together with all earlier ones.
    pub(crate) dead_up_to: Option<Incarnation>,
    /// Whether the peer has handed over its whole ledger.
    pub(crate) has_handed_over: bool,
}

impl PeerView {
    pub(crate) fn new(incarnation: Incarnation, now: Moment) -> Self {
        Self {
            incarnation,
            is_connected: false,
            last_received_at: now,
            adopted: 0,
            dead_up_to: None,
            has_handed_over: false,
        }
    }

    pub(crate) fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.dead_up_to.is_some_and(|dead| incarnation <= dead) || incarnation < self.incarnation
    }
    /// Returns whether an incarnation can no longer act under a version, because it has adopted a
    /// later one or is dead.
    pub(crate) fn has_moved_on(&self, incarnation: Incarnation, version: u64) -> bool {
        let is_same_run = self.incarnation == incarnation;
        (is_same_run && self.adopted > version) || self.is_dead(incarnation)
    }
}
