use std::time::Duration;

use crate::message::Demand;
use crate::types::Moment;

/// Time for which a request of a peer is valid. A peer whose tasks still wait repeats its request
/// earlier.
const LIFETIME: Duration = Duration::from_millis(600);
/// Time after which an unmet request takes precedence although it is not the more urgent one, as
/// long as the peer runs fewer tasks than this entry.
const PATIENCE: Duration = Duration::from_millis(500);

/// Latest request of a peer for credits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerWant {
    pub(crate) demand: Demand,
    /// Number of tasks that the peer ran at its latest request, plus the credits lent to it since.
    running: u32,
    since: Moment,
    stated_at: Moment,
}

impl PeerWant {
    pub(crate) fn new(now: Moment, demand: Demand, running: u32) -> Self {
        Self {
            demand,
            running,
            since: now,
            stated_at: now,
        }
    }

    /// Updates the request after the peer has repeated it.
    pub(crate) fn state_again(&mut self, now: Moment, demand: Demand, running: u32) {
        if !self.counts(now) {
            self.since = now;
        }
        self.demand = demand;
        self.running = running;
        self.stated_at = now;
    }

    /// Returns whether the request is still valid and unmet.
    pub(crate) fn counts(&self, now: Moment) -> bool {
        self.demand.wanted > 0 && now.since(self.stated_at) < LIFETIME
    }

    /// Returns whether the peer's request takes precedence over this entry's own tasks. `own` is
    /// the order key of this entry's first submission (`None` if no task waits) and `running` the
    /// number of tasks that this entry runs.
    pub(crate) fn goes_first(&self, now: Moment, own: Option<u64>, running: u32) -> bool {
        let Some(own) = own else {
            return true;
        };
        let is_more_urgent = self.demand.urgency.saturating_mul(2) <= own;
        let has_waited = now.since(self.since) >= PATIENCE && self.running < running;
        is_more_urgent || has_waited
    }

    /// Records that one credit was lent to the peer.
    pub(crate) fn note_lent(&mut self) {
        self.demand.wanted -= 1;
        self.running += 1;
    }
}
