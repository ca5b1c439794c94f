use std::collections::BTreeMap;

use super::HallShares;
use crate::job::ShareWeights;
use crate::types::Hall;

/// Work that one hall was entitled to and that it received at a target since its side started, in
/// thousandths of the target times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallTotal {
    /// The hall's share by weight of all work that was started while the hall waited.
    pub due: u64,
    /// Work that was started for the hall while any hall waited.
    pub obtained: u64,
}

/// Totals of all halls.
#[derive(Clone, Debug, Default)]
pub struct HallTotals {
    halls: BTreeMap<Hall, HallTotal>,
}

impl HallTotals {
    /// Records work that was started for a hall while the halls in `waiting` waited. `waiting` must
    /// name each hall once.
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
            total.obtained += work;
        }
        let together: u64 = waiting.iter().map(|hall| weight(hall, weights)).sum();
        for hall in waiting {
            if let Some(total) = self.of(hall) {
                total.due += work * weight(hall, weights) / together.max(1);
            }
        }
    }

    /// Returns the totals by hall.
    pub fn halls(&self) -> &BTreeMap<Hall, HallTotal> {
        &self.halls
    }

    /// Returns the total of a hall, or `None` for a new hall once the maximum number of halls is
    /// reached.
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
