//! Weights of halls that operators set, and the capacity that halls obtained under them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::HallTotal;
use mastknot_core::job::ShareWeights;
use mastknot_core::scheduler::SchedulerEvent;
use mastknot_core::types::Hall;
use rand::RngExt;

use super::action::Action;
use super::job_system::{JobSystem, MILLI};
use super::processes::hall_of;

/// Maximum time after which an entry has read a change of the store, in microseconds.
const MAX_READ_DELAY: u64 = 6 * MILLI;

impl JobSystem {
    /// Schedules that operators set the weights of these halls; all other halls have the default weight.
    pub fn set_share_weights(&mut self, at: Duration, weights: &[(usize, u32)]) {
        let halls = weights
            .iter()
            .map(|(hall, weight)| (hall_of(*hall), *weight));
        let halls = halls.collect();
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::SetShareWeights { halls });
    }

    /// Returns the capacity that all sides together have granted to halls while capacity was scarce.
    pub fn hall_totals(&self) -> BTreeMap<Hall, HallTotal> {
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        let mut totals: BTreeMap<Hall, HallTotal> = BTreeMap::new();
        for (hall, total) in sides.flat_map(|core| core.hall_totals()) {
            let sum = totals.entry(hall.clone()).or_default();
            sum.due += total.due;
            sum.obtained += total.obtained;
        }
        totals
    }

    /// Returns the revision of the weights that each running side uses.
    pub fn share_revisions(&self) -> Vec<u64> {
        let sides = self.sides.iter().filter_map(|node| node.core.as_ref());
        sides.map(|core| core.share_weights().revision).collect()
    }

    pub(super) fn write_share_weights(&mut self, halls: BTreeMap<Hall, u32>) {
        let revision = self.share_weights.revision + 1;
        self.share_weights = Arc::new(ShareWeights { revision, halls });
        for entry in 0..self.settings.entries {
            let incarnation = self.entries[entry].incarnation;
            let delay = self.rng.random_range(1..=MAX_READ_DELAY);
            self.schedule_in(delay, Action::ReadShareWeights { entry, incarnation });
        }
    }

    pub(super) fn read_share_weights(&mut self, entry: usize, incarnation: u64) {
        if self.entries[entry].incarnation == incarnation && self.share_weights.revision > 0 {
            let weights = Arc::clone(&self.share_weights);
            self.step_entry(entry, SchedulerEvent::ShareWeights(weights));
        }
    }
}
