use std::time::Duration;

use crate::message::Demand;
use crate::types::Moment;

/// Time for which a reported demand is valid. An entry that still waits reports its demand again.
const DEMAND_LIFETIME: Duration = Duration::from_millis(500);

/// State of one connected entry as the side knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryView {
    demand: Demand,
    reported_at: Moment,
    /// Number of unused credits that the entry holds.
    pub(crate) held: u32,
}

impl EntryView {
    /// Records the demand that the entry reports.
    pub(crate) fn record_demand(&mut self, now: Moment, demand: Demand) {
        self.demand = demand;
        self.reported_at = now;
    }

    /// Returns the number of credits that the entry still wants, or 0 if the reported demand has
    /// expired at `now`.
    pub(crate) fn wanted(&self, now: Moment) -> u32 {
        if now.since(self.reported_at) > DEMAND_LIFETIME {
            return 0;
        }
        self.demand.wanted
    }

    /// Returns the urgency of the entry's first submission; lower is more urgent.
    pub(crate) fn urgency(&self) -> u64 {
        self.demand.urgency
    }

    /// Records that one credit was granted.
    pub(crate) fn record_grant(&mut self) {
        self.demand.wanted = self.demand.wanted.saturating_sub(1);
        self.held += 1;
    }
}
