use std::collections::BTreeMap;

use super::HallShares;
use crate::job::ShareWeights;
use crate::types::Hall;

/// What one hall was due and had at a target since the start of its side, in thousandths of the target times
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallTotal {
    /// Its part by weight of all that was started while it waited.
    pub due: u64,
    /// What was started for it while any hall waited.
    pub had: u64,
}

/// What all halls were due and had.
#[derive(Clone, Debug, Default)]
pub struct HallTotals {
    halls: BTreeMap<Hall, HallTotal>,
}

impl HallTotals {
    /// Work was started for a hall while those in `waiting` waited, each named once.
    pub fn record_started(
        &mut self,
        hall: &Hall,
        work: u64,
        waiting: &[&Hall],
        weights: &ShareWeights,
    ) {
        if waiting.is_empty() {
            return;
        }
        if let Some(total) = self.of(hall) {
            total.had += work;
        }
        let together: u64 = waiting.iter().map(|hall| weight(hall, weights)).sum();
        for hall in waiting {
            if let Some(total) = self.of(hall) {
                total.due += work * weight(hall, weights) / together.max(1);
            }
        }
    }

    /// What each hall was due and had.
    pub fn halls(&self) -> &BTreeMap<Hall, HallTotal> {
        &self.halls
    }

    /// Halls past the bound are not counted.
    fn of(&mut self, hall: &Hall) -> Option<&mut HallTotal> {
        let is_full = self.halls.len() >= HallShares::MAX_HALLS;
        if is_full && !self.halls.contains_key(hall) {
            return None;
        }
        Some(self.halls.entry(hall.clone()).or_default())
    }
}

fn weight(hall: &Hall, weights: &ShareWeights) -> u64 {
    u64::from(weights.of_hall(hall))
}
