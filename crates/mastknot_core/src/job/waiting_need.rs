use std::time::Duration;

use bincode::{Decode, Encode};

use super::Capacity;

/// What waits for room at an entry, as it tells its sides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WaitingNeed {
    /// How urgent the first of it is; 0 is the most urgent.
    pub rank: u8,
    /// What the tasks of that rank take together.
    pub required_capacity: Capacity,
    /// What the smallest of them takes.
    pub smallest_task: Capacity,
    /// What the waiting tasks of its widest job of that rank take together.
    pub widest_job: Capacity,
    /// How long the first of it has waited, in milliseconds.
    pub waited_ms: u32,
    /// All that waits, the most urgent first. Empty where room is not granted.
    pub by_rank: Vec<RankedWork>,
}

impl WaitingNeed {
    /// Takes in a job of the rank whose waiting tasks take `room` together and that has waited for so long.
    pub fn record_job(&mut self, room: Capacity, waited: Duration) {
        if room.cpu_millis > self.widest_job.cpu_millis {
            self.widest_job = room;
        }
        let waited_ms = waited.as_millis().min(u128::from(u32::MAX)) as u32;
        self.waited_ms = self.waited_ms.max(waited_ms);
    }
}

/// Work that waits, of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RankedWork {
    /// How urgent it is; 0 is the most urgent.
    pub rank: u8,
    /// Its processor times its expected time on the middle of all targets, in thousandths of a core times milliseconds.
    pub cpu_millis_ms: u64,
}

impl RankedWork {
    /// The most ranks that are told of. What is less urgent than the last but one is told of as the last one.
    pub const MAX_RANKS: usize = 6;

    /// The same work, the most urgent first, in [`Self::MOST_RANKS`] ranks at most.
    pub fn limit_ranks(mut work: Vec<Self>) -> Vec<Self> {
        let rest = work.split_off(work.len().min(Self::MAX_RANKS));
        if let Some(last) = work.last_mut() {
            let rest = rest.iter().map(|part| part.cpu_millis_ms);
            last.cpu_millis_ms = rest.fold(last.cpu_millis_ms, u64::saturating_add);
        }
        work
    }
}
