use std::time::Duration;

use crate::message::Demand;
use crate::types::Moment;

/// Time for which a request of a peer is valid. A peer whose tasks still wait repeats its request
/// earlier.
const REQUEST_LIFETIME: Duration = Duration::from_millis(600);
/// Time after which an unmet request takes precedence although it is not the more urgent one, as
/// long as the peer runs fewer tasks than this entry.
const PRECEDENCE_DELAY: Duration = Duration::from_millis(500);

/// Latest request of a peer for credits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerRequest {
    pub(crate) demand: Demand,
    /// Number of tasks that the peer ran at its latest request, plus the credits lent to it since.
    running: u32,
    /// Time since which the peer has had an open request without interruption.
    since: Moment,
    updated_at: Moment,
}

impl PeerRequest {
    pub(crate) fn new(now: Moment, demand: Demand, running: u32) -> Self {
        Self {
            demand,
            running,
            since: now,
            updated_at: now,
        }
    }

    /// Updates the request after the peer has repeated it.
    pub(crate) fn update(&mut self, now: Moment, demand: Demand, running: u32) {
        if !self.is_open(now) {
            self.since = now;
        }
        self.demand = demand;
        self.running = running;
        self.updated_at = now;
    }

    /// Returns whether the request is still valid and unmet.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        self.demand.wanted > 0 && now.since(self.updated_at) < REQUEST_LIFETIME
    }

    /// Returns whether the peer's request takes precedence over this entry's own tasks. `own` is
    /// the order key of this entry's first submission (`None` if no task waits) and `running` the
    /// number of tasks that this entry runs.
    pub(crate) fn takes_precedence(&self, now: Moment, own: Option<u64>, running: u32) -> bool {
        let Some(own) = own else {
            return true;
        };
        let is_more_urgent = self.demand.urgency.saturating_mul(2) <= own;
        let has_waited = now.since(self.since) >= PRECEDENCE_DELAY && self.running < running;
        is_more_urgent || has_waited
    }

    /// Records that one credit was lent to the peer.
    pub(crate) fn record_lent(&mut self) {
        self.demand.wanted -= 1;
        self.running += 1;
    }
}
