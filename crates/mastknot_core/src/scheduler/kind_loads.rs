use std::collections::HashMap;
use std::time::Duration;

use crate::job::{Capacity, TaskKind};

/// Factor by which each new run reduces the weight of earlier ones. The history covers some minutes of work at one
/// entry.
const DECAY: f64 = 1.0 - 1.0 / 1_024.0;
/// Number of runs that must have ended before shares are used.
const MIN_RUNS: u32 = 64;
/// Maximum number of kinds that are kept.
const MAX_KINDS: usize = 64;

/// Share of each kind of tasks in the work of this entry's runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindLoads {
    /// Decayed processor time of each kind.
    loads: HashMap<TaskKind, f64>,
    runs: u32,
}

impl KindLoads {
    /// Records a completed run.
    pub(crate) fn record(&mut self, kind: TaskKind, capacity: &Capacity, run_time: Duration) {
        self.loads.values_mut().for_each(|load| *load *= DECAY);
        self.runs = self.runs.saturating_add(1);
        if self.loads.len() == MAX_KINDS && !self.loads.contains_key(&kind) {
            return;
        }
        let load = f64::from(capacity.cpu_millis) * run_time.as_secs_f64();
        *self.loads.entry(kind).or_default() += load;
    }

    /// Returns the share of a kind in the work, from 0 to 1, or `None` if too few runs have ended.
    pub(crate) fn share(&self, kind: TaskKind) -> Option<f64> {
        let sum: f64 = self.loads.values().sum();
        if self.runs < MIN_RUNS || sum <= 0.0 {
            return None;
        }
        let load = self.loads.get(&kind).copied().unwrap_or_default();
        Some(load / sum)
    }
}
