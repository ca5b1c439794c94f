use std::collections::BTreeMap;

use crate::job::ShareWeights;
use crate::types::Hall;

/// How far a hall may get ahead of those that had less, in milliseconds of the whole target given to it alone.
///
/// What it got beyond is lent for good. So whoever comes back has its whole share within this, and a hall that was
/// busy while nobody else asked waits no longer than this: the longest tasks end in that time.
const MAX_LEAD_MS: u64 = 1_000;
/// The whole target, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;
/// Work at the heaviest weight costs itself: no weight loses a remainder.
const WORK_COST: u64 = ShareWeights::MAX as u64;

/// Who is next among halls whose needs are equally urgent: start-time fair queueing.
///
/// Each hall has a virtual time that advances by the work it was given, divided by its weight. The lowest is next.
/// The floor is the lowest of those that waited when room was last given: who did not wait starts there, so that an
/// unused share is lent at once and the next piece after a return goes to the returning hall. Halls at the floor take
/// no state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallShares {
    floor: u64,
    /// The virtual times above the floor.
    ahead: BTreeMap<Hall, u64>,
}

impl HallShares {
    /// The most halls of which a virtual time is kept: a side's entries stand in a few.
    pub const MAX_HALLS: usize = 64;

    /// A hall's virtual time.
    pub fn virtual_time(&self, hall: &Hall) -> u64 {
        self.ahead.get(hall).copied().unwrap_or(self.floor)
    }

    /// Its virtual time once it has used `work` more, in thousandths of the target times milliseconds.
    pub fn virtual_time_after(&self, hall: &Hall, work: u64, weights: &ShareWeights) -> u64 {
        self.virtual_time(hall)
            .saturating_add(cost(hall, work, weights))
    }

    /// Room is to be given while these halls wait.
    pub fn record_waiting<'a>(&mut self, waiting: impl Iterator<Item = &'a Hall>) {
        if let Some(lowest) = waiting.map(|hall| self.virtual_time(hall)).min() {
            self.raise_floor(lowest);
        }
    }

    /// A hall has been given `work`.
    pub fn charge(&mut self, hall: &Hall, work: u64, weights: &ShareWeights) {
        let time = self.virtual_time_after(hall, work, weights);
        let lead = cost(hall, WHOLE_PERMILLE * MAX_LEAD_MS, weights);
        self.ahead.insert(hall.clone(), time);
        self.raise_floor(time.saturating_sub(lead));
        self.keep_bounded();
    }

    /// A hall did not use `work` that it was charged for.
    pub fn refund(&mut self, hall: &Hall, work: u64, weights: &ShareWeights) {
        let cost = cost(hall, work, weights);
        if let Some(time) = self.ahead.get_mut(hall) {
            *time = time.saturating_sub(cost);
        }
        self.forget_behind();
    }

    /// Of how many halls a virtual time is kept.
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

    /// Forgets the hall that is ahead by the least: it loses the least by it.
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

/// By how much a hall's virtual time advances.
fn cost(hall: &Hall, work: u64, weights: &ShareWeights) -> u64 {
    work.saturating_mul(WORK_COST) / u64::from(weights.of_hall(hall))
}
