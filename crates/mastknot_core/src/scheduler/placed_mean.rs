use std::time::Duration;

/// The weight of a new task against the mean so far: some tenths of a second at a busy entry.
const WEIGHT: f64 = 1.0 / 256.0;

/// How long the tasks run that were placed of late, weighted by the room that they take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacedMean {
    tasks: u32,
    /// Means by task: thousandths of a core, and these times milliseconds.
    room: f64,
    work: f64,
}

impl PlacedMean {
    /// A task was placed that takes this room, in thousandths of a core, and is expected to do this work, in thousandths of
    /// a core times milliseconds.
    pub(crate) fn record(&mut self, cpu_millis: u32, work: u64) {
        self.tasks = self.tasks.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.tasks));
        self.room += (f64::from(cpu_millis) - self.room) * weight;
        self.work += (work as f64 - self.work) * weight;
    }

    /// The mean time; none before anything was placed.
    pub(crate) fn mean_run_time(&self) -> Option<Duration> {
        let is_known = self.room > 0.0;
        is_known.then(|| Duration::from_secs_f64(self.work / self.room / 1_000.0))
    }
}
