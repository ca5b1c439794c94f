use std::time::Duration;

use crate::types::Moment;

/// How long a stated demand counts; an entry that still waits states it again.
const DEMAND_LIFETIME: Duration = Duration::from_millis(500);

/// What a side knows of one connected entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryView {
    demand: u32,
    stated_at: Moment,
    /// Unspent credits that were granted to the entry.
    pub(crate) held: u32,
}

impl EntryView {
    /// Records that the entry has use for `demand` more credits.
    pub(crate) fn state_demand(&mut self, now: Moment, demand: u32) {
        self.demand = demand;
        self.stated_at = now;
    }

    /// The demand that still counts at `now`.
    pub(crate) fn demand(&self, now: Moment) -> u32 {
        if now.since(self.stated_at) > DEMAND_LIFETIME {
            return 0;
        }
        self.demand
    }

    /// Records that one credit was granted.
    pub(crate) fn note_grant(&mut self) {
        self.demand = self.demand.saturating_sub(1);
        self.held += 1;
    }
}
