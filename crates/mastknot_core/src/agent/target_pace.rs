use std::time::Duration;

/// So much time of runs is looked back on, in milliseconds: a few runs, as callers' guesses scatter.
const WINDOW_MS: f64 = 500.0;
/// Progress of a run is looked at over at least this time: targets tell whole percents.
pub(super) const SHORTEST_STRETCH: Duration = Duration::from_millis(20);
/// The pace of a target of which nothing is known, in percent.
const NORMAL_PACE: u32 = 100;
/// The slowest pace that is told, in percent.
const SLOWEST_PACE: f64 = 10_000.0;

/// How long a target takes for its work, against what callers guess.
///
/// It is fed by the progress of all runs, not only by their ends: a slow target is slow to end
/// anything.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetPace {
    /// Recent time of runs, in milliseconds.
    ran_ms: f64,
    /// The part of their guessed times that they got done in it, in milliseconds.
    done_ms: f64,
}

impl TargetPace {
    /// A run went on for `ran` and got `percent` of a task done that was guessed to take `estimate`.
    pub(crate) fn note(&mut self, ran: Duration, percent: u8, estimate: Duration) {
        let ran_ms = ran.as_secs_f64() * 1_000.0;
        let done_ms = estimate.as_secs_f64() * 10.0 * f64::from(percent);
        let kept = (WINDOW_MS - ran_ms).max(0.0) / self.ran_ms.max(WINDOW_MS - ran_ms).max(1.0);
        self.ran_ms = self.ran_ms * kept + ran_ms;
        self.done_ms = self.done_ms * kept + done_ms;
    }

    /// Time taken against the guess, in percent.
    pub(crate) fn percent(&self) -> u32 {
        if self.ran_ms == 0.0 {
            return NORMAL_PACE;
        }
        let pace = self.ran_ms * 100.0 / self.done_ms.max(1.0);
        pace.min(SLOWEST_PACE) as u32
    }
}
