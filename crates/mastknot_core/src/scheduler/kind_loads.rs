use std::collections::HashMap;
use std::time::Duration;

use crate::job::{Capacity, TaskKind};

/// What each newer run leaves of the weight of those before: some minutes' work at one entry.
const FADING: f64 = 1.0 - 1.0 / 1_024.0;
/// So many runs must have ended before their shares are used.
const ENOUGH: u32 = 64;
/// The most kinds that are kept.
const MAX_KINDS: usize = 64;

/// How much of the work of this entry's runs each kind of tasks has had.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindLoads {
    /// Processor time, fading.
    loads: HashMap<TaskKind, f64>,
    runs: u32,
}

impl KindLoads {
    /// A run has done its work.
    pub(crate) fn record(&mut self, kind: TaskKind, room: &Capacity, ran: Duration) {
        self.loads.values_mut().for_each(|load| *load *= FADING);
        self.runs = self.runs.saturating_add(1);
        if self.loads.len() == MAX_KINDS && !self.loads.contains_key(&kind) {
            return;
        }
        let load = f64::from(room.cpu_millis) * ran.as_secs_f64();
        *self.loads.entry(kind).or_default() += load;
    }

    /// The share of a kind, from 0 to 1; none while little has run.
    pub(crate) fn share(&self, kind: TaskKind) -> Option<f64> {
        let sum: f64 = self.loads.values().sum();
        if self.runs < ENOUGH || sum <= 0.0 {
            return None;
        }
        let own = self.loads.get(&kind).copied().unwrap_or_default();
        Some(own / sum)
    }
}
