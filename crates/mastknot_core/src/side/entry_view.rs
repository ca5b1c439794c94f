use std::time::Duration;

use crate::message::Demand;
use crate::types::Moment;

/// How long a stated demand counts; an entry that still waits states it again.
const DEMAND_LIFETIME: Duration = Duration::from_millis(500);

/// What a side knows of one connected entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryView {
    demand: Demand,
    stated_at: Moment,
    /// Unspent credits that were granted to the entry.
    pub(crate) held: u32,
}

impl EntryView {
    /// Records what the entry has use for.
    pub(crate) fn state_demand(&mut self, now: Moment, demand: Demand) {
        self.demand = demand;
        self.stated_at = now;
    }

    /// How many credits the entry still wants, as far as that counts at `now`.
    pub(crate) fn wanted(&self, now: Moment) -> u32 {
        if now.since(self.stated_at) > DEMAND_LIFETIME {
            return 0;
        }
        self.demand.wanted
    }

    /// How urgent the entry's first submission is; lower is more urgent.
    pub(crate) fn urgency(&self) -> u64 {
        self.demand.urgency
    }

    /// Records that one credit was granted.
    pub(crate) fn note_grant(&mut self) {
        self.demand.wanted = self.demand.wanted.saturating_sub(1);
        self.held += 1;
    }
}
