use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::job::LearnedSlowdown;

/// Weight of a new run in the running mean.
const WEIGHT: f64 = 1.0 / 64.0;
/// Number of runs of a queue on a class that must have ended before they are used.
const MIN_RUNS: u32 = 16;
/// Largest number of runs by which a queue's mean on a class is weighted.
const MAX_RUNS: u32 = 256;
/// Number of runs between two updates of the slowdowns.
const RUNS_BETWEEN_UPDATES: u32 = 64;
/// Number of iterations that fit the slowdowns to the run times. With few classes and queues half as many are enough.
const FIT_ITERATIONS: usize = 20;
/// Largest ratio of run time to estimate, either way, that a single run contributes. On any target, a few runs in a
/// hundred take many times as long as the rest.
const MAX_RATIO: f64 = 3.0;
/// Ratio of the slowest to the fastest class below which all classes count as equally fast.
const MIN_SPEED_RATIO: f64 = 1.1;
/// Maximum number of pairs of queue and class that are kept.
const MAX_CELLS: usize = 512;

/// Statistics of the runs of one queue on one class of targets.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    runs: u32,
    /// Mean logarithm of the ratio of run time to the caller's estimate.
    mean_log_ratio: f64,
}

impl Cell {
    fn weight(&self) -> f64 {
        match self.runs >= MIN_RUNS {
            true => f64::from(self.runs.min(MAX_RUNS)),
            false => 0.0,
        }
    }
}

/// Relative speed of each class of targets, learned from all runs of an entry. The speed of a target that has just
/// started is therefore known from other targets of its class.
///
/// Estimates are wrong by a factor that differs between queues, and queues do not use all classes equally. Therefore
/// only runs of the same queue on different classes are compared.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassSlowdowns {
    cells: HashMap<(Arc<str>, Arc<str>), Cell>,
    runs_since_update: u32,
    /// Whether the next run must update the slowdowns because priors have been merged.
    has_new_priors: bool,
    /// Slowdown of each class, empty if no class is known to be faster than another.
    slowdowns: BTreeMap<Arc<str>, f64>,
}

impl ClassSlowdowns {
    /// Records a completed run of a queue on a target of a class. Returns whether the slowdowns may need an update.
    pub(crate) fn record(
        &mut self,
        queue: &Arc<str>,
        class: &Arc<str>,
        estimate: Duration,
        run_time: Duration,
    ) -> bool {
        let key = (Arc::clone(queue), Arc::clone(class));
        if estimate.is_zero() || (self.cells.len() == MAX_CELLS && !self.cells.contains_key(&key)) {
            return false;
        }
        let ratio = run_time.as_secs_f64() / estimate.as_secs_f64();
        let log_ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let cell = self.cells.entry(key).or_default();
        cell.runs = cell.runs.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(cell.runs));
        cell.mean_log_ratio += (log_ratio - cell.mean_log_ratio) * weight;
        self.runs_since_update += 1;
        self.runs_since_update >= RUNS_BETWEEN_UPDATES || std::mem::take(&mut self.has_new_priors)
    }

    /// Merges a value that another process has learned, if it is based on more runs than the own one. The slowdowns are
    /// updated with the next run, as more targets may be known by then.
    pub(crate) fn merge_prior(&mut self, learned: &LearnedSlowdown) {
        let key = (Arc::clone(&learned.queue), Arc::clone(&learned.class));
        if self.cells.len() == MAX_CELLS && !self.cells.contains_key(&key) {
            return;
        }
        let cell = self.cells.entry(key).or_default();
        if cell.runs >= learned.runs {
            return;
        }
        cell.runs = learned.runs;
        cell.mean_log_ratio = learned.log_ratio.clamp(-MAX_RATIO.ln(), MAX_RATIO.ln());
        self.has_new_priors = true;
    }

    /// Returns the statistics of all pairs of queue and class, sorted by queue and class.
    pub(crate) fn learned(&self) -> Vec<LearnedSlowdown> {
        let slowdowns = self
            .cells
            .iter()
            .map(|((queue, class), cell)| LearnedSlowdown {
                queue: Arc::clone(queue),
                class: Arc::clone(class),
                runs: cell.runs,
                log_ratio: cell.mean_log_ratio,
            });
        let mut slowdowns: Vec<LearnedSlowdown> = slowdowns.collect();
        slowdowns.sort_by(|one, other| (&one.queue, &one.class).cmp(&(&other.queue, &other.class)));
        slowdowns
    }

    /// Updates the slowdowns from the recorded runs. `targets` holds the number of targets of each class.
    pub(crate) fn update(&mut self, targets: &BTreeMap<Arc<str>, usize>) {
        self.runs_since_update = 0;
        let mut class_logs: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for _ in 0..FIT_ITERATIONS {
            let queue_logs =
                self.means(|(queue, _)| queue, |(_, class)| log_of(&class_logs, class));
            class_logs = self.means(|(_, class)| class, |(queue, _)| log_of(&queue_logs, queue));
        }
        let counted = targets.iter().filter_map(|(class, count)| {
            let log = class_logs.get(class)?;
            Some((*log, *count as f64))
        });
        let (sum, count) = counted.fold((0.0, 0.0), |(sum, all), (log, count)| {
            (sum + log * count, all + count)
        });
        let mean = if count > 0.0 { sum / count } else { 0.0 };
        let slowest = class_logs.values().copied().fold(f64::MIN, f64::max);
        let fastest = class_logs.values().copied().fold(f64::MAX, f64::min);
        if slowest - fastest < MIN_SPEED_RATIO.ln() {
            class_logs.clear();
        }
        let slowdowns = class_logs.into_iter();
        let slowdowns = slowdowns.map(|(class, log)| (class, (log - mean).exp()));
        self.slowdowns = slowdowns.collect();
    }

    /// Returns whether no class is known to be faster than another.
    pub(crate) fn is_uniform(&self) -> bool {
        self.slowdowns.is_empty()
    }

    /// Returns for each group (queue or class) the weighted mean of what the other factor leaves unexplained.
    fn means<'a>(
        &'a self,
        group: impl Fn(&'a (Arc<str>, Arc<str>)) -> &'a Arc<str>,
        explained: impl Fn(&'a (Arc<str>, Arc<str>)) -> f64,
    ) -> BTreeMap<Arc<str>, f64> {
        let mut sums: BTreeMap<Arc<str>, (f64, f64)> = BTreeMap::new();
        for (key, cell) in self.cells.iter().filter(|(_, cell)| cell.weight() > 0.0) {
            let (sum, weight) = sums.entry(Arc::clone(group(key))).or_default();
            *sum += (cell.mean_log_ratio - explained(key)) * cell.weight();
            *weight += cell.weight();
        }
        let means = sums.into_iter();
        means
            .map(|(name, (sum, weight))| (name, sum / weight))
            .collect()
    }

    /// Returns the time that work takes on a class relative to the mean of all targets: 2 means half as fast.
    pub(crate) fn slowdown(&self, class: &str) -> f64 {
        self.slowdowns.get(class).copied().unwrap_or(1.0)
    }

    /// Returns the slowdown of the slowest class, or 1 if that is larger.
    pub(crate) fn max_slowdown(&self) -> f64 {
        self.slowdowns.values().copied().fold(1.0, f64::max)
    }
}

fn log_of(class_logs: &BTreeMap<Arc<str>, f64>, name: &Arc<str>) -> f64 {
    class_logs.get(name).copied().unwrap_or_default()
}
