use crate::types::{Incarnation, Moment};

/// What an entry knows of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// The highest run that was heard of.
    pub(crate) incarnation: Incarnation,
    /// Whether a link stands.
    pub(crate) is_connected: bool,
    /// When anything came from it.
    pub(crate) heard_at: Moment,
    /// The roster version it has adopted.
    pub(crate) adopted: u64,
    /// Runs up to this one are dead, for certain.
    pub(crate) dead_up_to: Option<Incarnation>,
    /// Whether it has handed its whole ledger over.
    pub(crate) has_handed_over: bool,
}

impl PeerView {
    pub(crate) fn new(incarnation: Incarnation, now: Moment) -> Self {
        Self {
            incarnation,
            is_connected: false,
            heard_at: now,
            adopted: 0,
            dead_up_to: None,
            has_handed_over: false,
        }
    }

    pub(crate) fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.dead_up_to.is_some_and(|dead| incarnation <= dead) || incarnation < self.incarnation
    }
    /// Whether a run can't act under a version any more: it adopted a later one, or is dead.
    pub(crate) fn has_moved_on(&self, incarnation: Incarnation, version: u64) -> bool {
        let is_same_run = self.incarnation == incarnation;
        (is_same_run && self.adopted > version) || self.is_dead(incarnation)
    }
}
