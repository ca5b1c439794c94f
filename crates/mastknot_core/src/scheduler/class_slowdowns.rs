use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::job::LearnedSlowdown;

/// The weight of a new run against the mean so far.
const WEIGHT: f64 = 1.0 / 64.0;
/// So many runs of a queue on a class must have ended before they are used.
const ENOUGH: u32 = 16;
/// Runs beyond this number add nothing to what a queue tells of a class.
const MOST_RUNS: u32 = 256;
/// So many runs end between two times at which paces are worked out.
const WORKED_OUT_EACH: u32 = 64;
/// Steps towards the paces that explain the run times best: few classes and queues settle in half as many.
const ROUNDS: usize = 20;
/// A run that took this many times its guess, or less by as much, tells no more than one at the bound: a few in a
/// hundred take many times as long as the rest on any target.
const MOST_OFF: f64 = 3.0;
/// Where the slowest class takes less than this many times as long as the fastest, all count as alike.
const LEAST_UNEQUAL: f64 = 1.1;
/// The most pairs of queue and class that are kept.
const MAX_CELLS: usize = 512;

/// How the runs of one queue on one class of targets have gone.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    runs: u32,
    /// The mean logarithm of their times against their callers' guesses.
    off: f64,
}

impl Cell {
    fn weight(&self) -> f64 {
        match self.runs >= ENOUGH {
            true => f64::from(self.runs.min(MOST_RUNS)),
            false => 0.0,
        }
    }
}

/// How fast each class of targets is, learned from all runs of an entry: a target that has just started is no unknown one.
///
/// Guesses are off by a factor that differs by queue, and queues go to classes in unequal parts. So only runs of the same
/// queue on different classes are compared.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassSlowdowns {
    cells: HashMap<(Arc<str>, Arc<str>), Cell>,
    noted: u32,
    /// Whether the paces have to be worked out again with the next run.
    is_believed: bool,
    paces: BTreeMap<Arc<str>, f64>,
}

impl ClassSlowdowns {
    /// A run of a queue has done its work on a target of a class; returns whether paces may have to be worked out again.
    pub(crate) fn note(
        &mut self,
        queue: &Arc<str>,
        class: &Arc<str>,
        guess: Duration,
        ran: Duration,
    ) -> bool {
        let key = (Arc::clone(queue), Arc::clone(class));
        if guess.is_zero() || (self.cells.len() == MAX_CELLS && !self.cells.contains_key(&key)) {
            return false;
        }
        let ratio = ran.as_secs_f64() / guess.as_secs_f64();
        let off = ratio.clamp(1.0 / MOST_OFF, MOST_OFF).ln();
        let cell = self.cells.entry(key).or_default();
        cell.runs = cell.runs.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(cell.runs));
        cell.off += (off - cell.off) * weight;
        self.noted += 1;
        self.noted >= WORKED_OUT_EACH || std::mem::take(&mut self.is_believed)
    }

    /// Takes another process's belief where it stands on more runs; the next run works the paces out again, as other targets
    /// may be known by then.
    pub(crate) fn believe(&mut self, learned: &LearnedSlowdown) {
        let key = (Arc::clone(&learned.queue), Arc::clone(&learned.class));
        if self.cells.len() == MAX_CELLS && !self.cells.contains_key(&key) {
            return;
        }
        let cell = self.cells.entry(key).or_default();
        if cell.runs >= learned.runs {
            return;
        }
        cell.runs = learned.runs;
        cell.off = learned.log_ratio.clamp(-MOST_OFF.ln(), MOST_OFF.ln());
        self.is_believed = true;
    }

    /// What its runs have shown.
    pub(crate) fn learned(&self) -> Vec<LearnedSlowdown> {
        let paces = self
            .cells
            .iter()
            .map(|((queue, class), cell)| LearnedSlowdown {
                queue: Arc::clone(queue),
                class: Arc::clone(class),
                runs: cell.runs,
                log_ratio: cell.off,
            });
        let mut paces: Vec<LearnedSlowdown> = paces.collect();
        paces.sort_by(|one, other| (&one.queue, &one.class).cmp(&(&other.queue, &other.class)));
        paces
    }

    /// Works the paces out; `targets` has how many there are of each class.
    pub(crate) fn work_out(&mut self, targets: &BTreeMap<Arc<str>, usize>) {
        self.noted = 0;
        let mut logs: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for _ in 0..ROUNDS {
            let guesses = self.means(|(queue, _)| queue, |(_, class)| log_of(&logs, class));
            logs = self.means(|(_, class)| class, |(queue, _)| log_of(&guesses, queue));
        }
        let weighed = targets.iter().filter_map(|(class, count)| {
            let log = logs.get(class)?;
            Some((*log, *count as f64))
        });
        let (sum, count) = weighed.fold((0.0, 0.0), |(sum, all), (log, count)| {
            (sum + log * count, all + count)
        });
        let middle = if count > 0.0 { sum / count } else { 0.0 };
        let slowest = logs.values().copied().fold(f64::MIN, f64::max);
        let fastest = logs.values().copied().fold(f64::MAX, f64::min);
        if slowest - fastest < LEAST_UNEQUAL.ln() {
            logs.clear();
        }
        let paces = logs.into_iter();
        let paces = paces.map(|(class, log)| (class, (log - middle).exp()));
        self.paces = paces.collect();
    }

    /// Whether no class is known to be faster than another.
    pub(crate) fn are_alike(&self) -> bool {
        self.paces.is_empty()
    }

    /// The mean of what the cells of each group leave unexplained by the other.
    fn means<'a>(
        &'a self,
        group: impl Fn(&'a (Arc<str>, Arc<str>)) -> &'a Arc<str>,
        explained: impl Fn(&'a (Arc<str>, Arc<str>)) -> f64,
    ) -> BTreeMap<Arc<str>, f64> {
        let mut sums: BTreeMap<Arc<str>, (f64, f64)> = BTreeMap::new();
        for (key, cell) in self.cells.iter().filter(|(_, cell)| cell.weight() > 0.0) {
            let (sum, weight) = sums.entry(Arc::clone(group(key))).or_default();
            *sum += (cell.off - explained(key)) * cell.weight();
            *weight += cell.weight();
        }
        let means = sums.into_iter();
        means
            .map(|(name, (sum, weight))| (name, sum / weight))
            .collect()
    }

    /// How long work takes on a class against the middle of all targets: 2 for half as fast.
    pub(crate) fn pace(&self, class: &str) -> f64 {
        self.paces.get(class).copied().unwrap_or(1.0)
    }

    /// The pace of the slowest class.
    pub(crate) fn slowest(&self) -> f64 {
        self.paces.values().copied().fold(1.0, f64::max)
    }
}

fn log_of(logs: &BTreeMap<Arc<str>, f64>, name: &Arc<str>) -> f64 {
    logs.get(name).copied().unwrap_or_default()
}
