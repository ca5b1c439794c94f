use std::time::Duration;

use super::{KnownLoad, LoadView};
use crate::job::Capacity;

/// A wait beyond this is not told from one without end: no caller stays for so long.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// What a job is forecast by, beside the load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForecastInput {
    /// How urgent it is; 0 is the most urgent.
    pub rank: u8,
    /// The room that is taken by what goes before it at its own entry, in thousandths of a core.
    pub ahead: u64,
    /// The room that its own waiting tasks take, in thousandths of a core.
    pub required_capacity: u64,
    /// How long tasks run that were placed of late: so long the room that comes free has been held.
    pub held_for: Duration,
    /// The room that the smallest of its waiting tasks takes.
    pub smallest: Capacity,
    /// More urgent work that is expected to arrive at its entry, in thousandths of a core.
    pub arriving_rate: f64,
    /// What the entry has got of the room that it was said to get, as a ratio.
    pub obtained_ratio: f64,
}

/// When a job would find room for all of its waiting tasks, from what is observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// The wait; none if the room that comes free goes to more urgent work.
    pub wait: Option<Duration>,
    /// The work that comes free for it and what is ahead of it, in thousandths of a core.
    pub rate: f64,
}

impl Forecast {
    /// The wait is the room to be found until then, its own included, over the rate at which room comes free for it: what
    /// targets do in a time, over how long their tasks hold room.
    ///
    /// What arrives meanwhile and is more urgent takes its part of that rate, at the other entries as well as here.
    pub fn of(view: &LoadView, input: &ForecastInput) -> Self {
        let left = 1.0 - input.arriving_rate / view.even_rate();
        let rate = view.rate(input.rank) * input.obtained_ratio * left;
        if input.ahead == 0 && view.has_capacity_for(&input.smallest) {
            let wait = Some(Duration::ZERO);
            return Self { wait, rate };
        }
        let room = (input.ahead + input.required_capacity) as f64;
        let wait = time_for(room, rate, input.held_for);
        Self { wait, rate }
    }
}

impl LoadView {
    /// Whether anything is known of the room: without a side nothing can be forecast.
    pub fn is_known(&self) -> bool {
        self.sides.iter().any(|side| side.capacity.cpu_millis > 0)
    }

    /// Whether a target is believed to have room for a task.
    pub fn has_capacity_for(&self, task: &Capacity) -> bool {
        self.sides.iter().any(|side| side.free.covers(task))
    }

    /// The work that waits at the entry itself and is at least as urgent, in thousandths of a core times milliseconds.
    pub fn own_work(&self, rank: u8) -> u64 {
        let own = self.own.iter().filter(|work| work.rank <= rank);
        own.map(|work| work.cpu_millis_ms).sum()
    }

    /// What the entry gets of the targets for its own work of this rank and more urgent, in thousandths of a core.
    ///
    /// Each target's room goes to the entries that wait for it in proportion to their work, as an entry tells the same need
    /// to each side that it uses.
    pub fn rate(&self, rank: u8) -> f64 {
        let own = self.own_work(rank) as f64;
        let parts = self.sides.iter().map(|side| {
            let told = side.load.waiting.iter().filter(|work| work.rank <= rank);
            let told: u64 = told.map(|work| work.cpu_millis_ms).sum();
            // A report may be older than what waits here.
            let waiting = (told as f64).max(own);
            let capacity = side.rate();
            match waiting > 0.0 {
                true => capacity * own / waiting,
                false => side.even_rate(),
            }
        });
        parts.sum()
    }

    /// What the entry gets of the targets if all entries that use them ask alike, in thousandths of a core.
    pub fn even_rate(&self) -> f64 {
        self.sides.iter().map(KnownLoad::even_rate).sum()
    }

    /// The age of the oldest report that counts.
    pub fn max_report_age(&self) -> Duration {
        let ages = self.sides.iter().map(|side| side.age);
        ages.max().unwrap_or_default()
    }
}

impl KnownLoad {
    /// What its target does, in thousandths of a core of usual speed.
    fn rate(&self) -> f64 {
        f64::from(self.capacity.cpu_millis) / self.slowdown
    }

    fn even_rate(&self) -> f64 {
        self.rate() / f64::from(self.load.entries.max(1))
    }
}

/// How long it takes until so much room has come free; none if that is beyond any caller's time.
fn time_for(room: f64, rate: f64, held_for: Duration) -> Option<Duration> {
    if rate <= 0.0 {
        return None;
    }
    let seconds = room / rate * held_for.as_secs_f64();
    let is_bounded = seconds <= LONGEST_WAIT.as_secs_f64();
    is_bounded.then(|| Duration::from_secs_f64(seconds))
}
