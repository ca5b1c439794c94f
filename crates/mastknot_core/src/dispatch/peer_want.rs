use std::time::Duration;

use crate::message::Demand;
use crate::types::Moment;

/// How long a peer's stated want counts; a peer that still waits states it again.
const LIFETIME: Duration = Duration::from_millis(600);
/// A want this old that was not met is met although it is not the more urgent one, as long as
/// the peer runs less than this entry.
const PATIENCE: Duration = Duration::from_millis(500);

/// What a peer wants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerWant {
    pub(crate) demand: Demand,
    /// Tasks that the peer ran when it stated its want, and those lent to it since.
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

    /// The peer states its want again.
    pub(crate) fn state_again(&mut self, now: Moment, demand: Demand, running: u32) {
        if !self.counts(now) {
            self.since = now;
        }
        self.demand = demand;
        self.running = running;
        self.stated_at = now;
    }

    /// Whether the want still counts.
    pub(crate) fn counts(&self, now: Moment) -> bool {
        self.demand.wanted > 0 && now.since(self.stated_at) < LIFETIME
    }

    /// Whether the peer goes before this entry, whose first submission has `own` as its order
    /// key (none if nothing waits) and which runs `running` tasks.
    pub(crate) fn goes_first(&self, now: Moment, own: Option<u64>, running: u32) -> bool {
        let Some(own) = own else {
            return true;
        };
        let is_more_urgent = self.demand.urgency.saturating_mul(2) <= own;
        let has_waited = now.since(self.since) >= PATIENCE && self.running < running;
        is_more_urgent || has_waited
    }

    /// One credit was lent.
    pub(crate) fn note_lent(&mut self) {
        self.demand.wanted -= 1;
        self.running += 1;
    }
}
