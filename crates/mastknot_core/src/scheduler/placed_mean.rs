use std::time::Duration;

/// Weight of a new task in the running mean, which then covers some tenths of a second at a busy entry.
const WEIGHT: f64 = 1.0 / 256.0;

/// Mean run time of recently placed tasks, weighted by the capacity that they use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacedMean {
    tasks: u32,
    /// Mean processor capacity per task, in thousandths of a core.
    mean_cpu_millis: f64,
    /// Mean work per task, in thousandths of a core times milliseconds.
    mean_work: f64,
}

impl PlacedMean {
    /// Records a placed task. `cpu_millis` is the processor capacity that it uses, in thousandths of a core, and `work`
    /// the work that it is expected to do, in thousandths of a core times milliseconds.
    pub(crate) fn record(&mut self, cpu_millis: u32, work: u64) {
        self.tasks = self.tasks.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.tasks));
        self.mean_cpu_millis += (f64::from(cpu_millis) - self.mean_cpu_millis) * weight;
        self.mean_work += (work as f64 - self.mean_work) * weight;
    }

    /// Returns the mean run time, or `None` before any task was placed.
    pub(crate) fn mean_run_time(&self) -> Option<Duration> {
        let is_known = self.mean_cpu_millis > 0.0;
        is_known.then(|| Duration::from_secs_f64(self.mean_work / self.mean_cpu_millis / 1_000.0))
    }
}
