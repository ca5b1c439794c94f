use std::time::Duration;

use super::{KnownLoad, LoadView};
use crate::job::Capacity;

/// Longest wait that is forecast. Callers do not wait this long, so a longer wait counts as one without end.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Input of a job's forecast besides the load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForecastInput {
    /// Urgency of the job; 0 is the most urgent.
    pub rank: u8,
    /// Capacity required by the jobs that come before this one at its own entry, in thousandths of a core.
    pub ahead: u64,
    /// Capacity required by the job's own waiting tasks, in thousandths of a core.
    pub required_capacity: u64,
    /// Mean run time of the tasks that were placed recently, which is how long capacity is held before it becomes free.
    pub held_for: Duration,
    /// Capacity required by the smallest waiting task of the job.
    pub smallest: Capacity,
    /// Rate at which more urgent work is expected to arrive at the job's entry, in thousandths of a core.
    pub arriving_rate: f64,
    /// Ratio of the capacity that the entry has obtained to the capacity that it was expected to obtain.
    pub obtained_ratio: f64,
}

/// Forecast of when a job finds capacity for all of its waiting tasks, based on observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Expected wait, or `None` if capacity that becomes free goes to more urgent work or the wait is too long to be
    /// forecast.
    pub wait: Option<Duration>,
    /// Rate of the work that is done for the job and for those ahead of it, in thousandths of a core.
    pub rate: f64,
}

impl Forecast {
    /// Computes the forecast of a job.
    ///
    /// The wait is the capacity that is required until then, including that of the job itself, divided by the rate at
    /// which capacity becomes free for it. That rate is the rate of the work that the targets do for the entry, divided
    /// by how long tasks hold their capacity.
    ///
    /// More urgent work that arrives in the meantime takes its part of that rate, at the other entries as well as at
    /// this one.
    pub fn of(view: &LoadView, input: &ForecastInput) -> Self {
        let remaining_share = 1.0 - input.arriving_rate / view.equal_share_rate();
        let rate = view.rate(input.rank) * input.obtained_ratio * remaining_share;
        if input.ahead == 0 && view.has_capacity_for(&input.smallest) {
            let wait = Some(Duration::ZERO);
            return Self { wait, rate };
        }
        let needed = (input.ahead + input.required_capacity) as f64;
        let wait = time_to_free(needed, rate, input.held_for);
        Self { wait, rate }
    }
}

impl LoadView {
    /// Returns whether the capacity of any target is known. Nothing can be forecast without a side.
    pub fn is_known(&self) -> bool {
        self.sides.iter().any(|side| side.capacity.cpu_millis > 0)
    }

    /// Returns whether a target is assumed to have enough free capacity for a task.
    pub fn has_capacity_for(&self, task: &Capacity) -> bool {
        self.sides.iter().any(|side| side.free.covers(task))
    }

    /// Returns the work that waits at the entry itself with this rank or a more urgent one, in thousandths of a core
    /// times milliseconds.
    pub fn own_work(&self, rank: u8) -> u64 {
        let urgent = self.own_waiting.iter().filter(|work| work.rank <= rank);
        urgent.map(|work| work.cpu_millis_ms).sum()
    }

    /// Returns the rate at which targets do the entry's own work of this rank or a more urgent one, in thousandths of a
    /// core.
    ///
    /// The capacity of each target is divided among the entries that wait for it in proportion to their work, because
    /// an entry reports the same need to each side that it uses.
    pub fn rate(&self, rank: u8) -> f64 {
        let own_work = self.own_work(rank) as f64;
        let rates = self.sides.iter().map(|side| {
            let reported = side.load.waiting.iter().filter(|work| work.rank <= rank);
            let reported: u64 = reported.map(|work| work.cpu_millis_ms).sum();
            // A report may be older than the work that waits here.
            let waiting = (reported as f64).max(own_work);
            let capacity = side.rate();
            match waiting > 0.0 {
                true => capacity * own_work / waiting,
                false => side.equal_share_rate(),
            }
        });
        rates.sum()
    }

    /// Returns the rate at which targets do work for the entry if all entries that use them have the same need, in
    /// thousandths of a core.
    pub fn equal_share_rate(&self) -> f64 {
        self.sides.iter().map(KnownLoad::equal_share_rate).sum()
    }

    /// Returns the age of the oldest report in the view.
    pub fn max_report_age(&self) -> Duration {
        let ages = self.sides.iter().map(|side| side.age);
        ages.max().unwrap_or_default()
    }
}

impl KnownLoad {
    /// Returns the rate of the work that the target does, in thousandths of a core of mean speed.
    fn rate(&self) -> f64 {
        f64::from(self.capacity.cpu_millis) / self.slowdown
    }

    fn equal_share_rate(&self) -> f64 {
        self.rate() / f64::from(self.load.entries.max(1))
    }
}

/// Returns the time until the needed capacity has become free, or `None` if it exceeds [`MAX_WAIT`].
fn time_to_free(needed: f64, rate: f64, held_for: Duration) -> Option<Duration> {
    if rate <= 0.0 {
        return None;
    }
    let seconds = needed / rate * held_for.as_secs_f64();
    let is_bounded = seconds <= MAX_WAIT.as_secs_f64();
    is_bounded.then(|| Duration::from_secs_f64(seconds))
}
