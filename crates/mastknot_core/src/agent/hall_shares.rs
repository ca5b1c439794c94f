use std::collections::BTreeMap;

use crate::job::ShareWeights;
use crate::types::Hall;

/// Maximum lead of a hall over halls that have received less, in milliseconds of the whole target.
///
/// Use beyond this lead is not charged. A hall that returns has its whole share again within this
/// time, and a hall that was busy while no other hall had work waits no longer than this. The
/// longest tasks end within this time.
const MAX_LEAD_MS: u64 = 1_000;
/// The whole target, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;
/// Cost of one unit of work, scaled so that at the heaviest weight the cost equals the work.
/// Division by a weight then loses no remainder.
const WORK_COST: u64 = ShareWeights::MAX as u64;

/// Start-time fair queueing between halls whose needs are equally urgent.
///
/// Each hall has a virtual time that advances by the work that the hall received, divided by its
/// weight. The hall with the lowest virtual time is served next. The floor is the lowest virtual
/// time of the halls that waited when capacity was last given. Halls that did not wait start at the
/// floor, so that an unused share is lent immediately and the next piece after a hall returns goes
/// to that hall. Halls at the floor are not stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallShares {
    floor: u64,
    /// Virtual times of the halls above the floor.
    ahead: BTreeMap<Hall, u64>,
}

impl HallShares {
    /// Maximum number of halls with a stored virtual time. The entries of a side belong to a few
    /// halls.
    pub const MAX_HALLS: usize = 64;

    /// Returns the virtual time of a hall.
    pub fn virtual_time(&self, hall: &Hall) -> u64 {
        self.ahead.get(hall).copied().unwrap_or(self.floor)
    }

    /// Returns the virtual time that a hall would have after `work` more, in thousandths of the
    /// target times milliseconds.
    pub fn virtual_time_after(&self, hall: &Hall, work: u64, weights: &ShareWeights) -> u64 {
        self.virtual_time(hall)
            .saturating_add(cost(hall, work, weights))
    }

    /// Records which halls wait when capacity is about to be given, and raises the floor to the
    /// lowest of their virtual times.
    pub fn record_waiting<'a>(&mut self, waiting: impl Iterator<Item = &'a Hall>) {
        if let Some(lowest) = waiting.map(|hall| self.virtual_time(hall)).min() {
            self.raise_floor(lowest);
        }
    }

    /// Charges a hall for `work` that it has been given.
    pub fn charge(&mut self, hall: &Hall, work: u64, weights: &ShareWeights) {
        let time = self.virtual_time_after(hall, work, weights);
        let lead = cost(hall, WHOLE_PERMILLE * MAX_LEAD_MS, weights);
        self.ahead.insert(hall.clone(), time);
        self.raise_floor(time.saturating_sub(lead));
        self.keep_bounded();
    }

    /// Refunds `work` for which a hall was charged but which it did not use.
    pub fn refund(&mut self, hall: &Hall, work: u64, weights: &ShareWeights) {
        let cost = cost(hall, work, weights);
        if let Some(time) = self.ahead.get_mut(hall) {
            *time = time.saturating_sub(cost);
        }
        self.forget_behind();
    }

    /// Returns the number of halls with a stored virtual time.
    pub fn tracked_halls(&self) -> usize {
        self.ahead.len()
    }

    fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
        self.forget_behind();
    }

    fn forget_behind(&mut self) {
        let floor = self.floor;
        self.ahead.retain(|_, time| *time > floor);
    }

    /// Removes the hall with the smallest lead when the bound is exceeded, because it loses the
    /// least.
    fn keep_bounded(&mut self) {
        if self.ahead.len() <= Self::MAX_HALLS {
            return;
        }
        let lowest = self.ahead.iter().min_by_key(|(_, time)| **time);
        if let Some(hall) = lowest.map(|(hall, _)| hall.clone()) {
            self.ahead.remove(&hall);
        }
    }
}

/// Returns the time by which `work` advances the virtual time of a hall.
fn cost(hall: &Hall, work: u64, weights: &ShareWeights) -> u64 {
    work.saturating_mul(WORK_COST) / u64::from(weights.of_hall(hall))
}
