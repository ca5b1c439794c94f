use std::time::Duration;

use bincode::{Decode, Encode};

use super::Capacity;

/// Work that waits for capacity at an entry, as the entry reports it to its sides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WaitingNeed {
    /// Rank of the most urgent waiting work; 0 is the most urgent.
    pub rank: u8,
    /// Capacity that all waiting tasks of this rank require together.
    pub required_capacity: Capacity,
    /// Capacity that the smallest of these tasks requires.
    pub smallest_task: Capacity,
    /// Capacity that the waiting tasks of the largest job of this rank require together.
    pub widest_job: Capacity,
    /// Longest time that work of this rank has waited, in milliseconds.
    pub waited_ms: u32,
    /// All waiting work, the most urgent first. Empty where capacity is not granted.
    pub by_rank: Vec<RankedWork>,
}

impl WaitingNeed {
    /// Records a job of this rank that has waited for `waited` and whose waiting tasks together
    /// require `required`.
    pub fn record_job(&mut self, required: Capacity, waited: Duration) {
        if required.cpu_millis > self.widest_job.cpu_millis {
            self.widest_job = required;
        }
        let waited_ms = waited.as_millis().min(u128::from(u32::MAX)) as u32;
        self.waited_ms = self.waited_ms.max(waited_ms);
    }
}

/// Waiting work of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RankedWork {
    /// Urgency rank; 0 is the most urgent.
    pub rank: u8,
    /// Required processor time, in thousandths of a core times milliseconds: the required processor
    /// capacity times the expected run time on a target of average speed.
    pub cpu_millis_ms: u64,
}

impl RankedWork {
    /// Maximum number of ranks in a report. The last rank includes all work that is less urgent.
    pub const MAX_RANKS: usize = 6;

    /// Returns `work`, sorted by urgency, in at most [`Self::MAX_RANKS`] ranks: the last rank
    /// includes the rest.
    pub fn limit_ranks(mut work: Vec<Self>) -> Vec<Self> {
        let rest = work.split_off(work.len().min(Self::MAX_RANKS));
        if let Some(last) = work.last_mut() {
            let rest = rest.iter().map(|part| part.cpu_millis_ms);
            last.cpu_millis_ms = rest.fold(last.cpu_millis_ms, u64::saturating_add);
        }
        work
    }
}
