use std::time::Duration;

/// Length of recent run time that the measurement covers, in milliseconds. It includes several
/// runs, because callers' estimates vary.
const WINDOW_MS: f64 = 500.0;
/// Minimum time over which the progress of a run is measured, because targets report whole
/// percents.
pub(super) const MIN_SAMPLE_TIME: Duration = Duration::from_millis(20);
/// Slowdown of a target without any measurement, in percent.
const DEFAULT_SLOWDOWN: u32 = 100;
/// Maximum slowdown that is reported, in percent.
const MAX_SLOWDOWN: f64 = 10_000.0;

/// Slowdown of a target, measured as run time relative to the callers' estimates.
///
/// The progress of all runs is included, not only their ends, because a slow target is slow to end
/// any run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetSlowdown {
    /// Recent run time, in milliseconds.
    ran_ms: f64,
    /// Part of the estimated times that was completed within the recent run time, in milliseconds.
    done_ms: f64,
}

impl TargetSlowdown {
    /// Records that a run progressed for `ran` and completed `percent` of a task with the given
    /// estimate.
    pub(crate) fn record(&mut self, ran: Duration, percent: u8, estimate: Duration) {
        let ran_ms = ran.as_secs_f64() * 1_000.0;
        let done_ms = estimate.as_secs_f64() * 10.0 * f64::from(percent);
        let kept = (WINDOW_MS - ran_ms).max(0.0) / self.ran_ms.max(WINDOW_MS - ran_ms).max(1.0);
        self.ran_ms = self.ran_ms * kept + ran_ms;
        self.done_ms = self.done_ms * kept + done_ms;
    }

    /// Returns the run time relative to the estimates, in percent. A higher value means a slower
    /// target.
    pub(crate) fn percent(&self) -> u32 {
        if self.ran_ms == 0.0 {
            return DEFAULT_SLOWDOWN;
        }
        let slowdown = self.ran_ms * 100.0 / self.done_ms.max(1.0);
        slowdown.min(MAX_SLOWDOWN) as u32
    }
}
