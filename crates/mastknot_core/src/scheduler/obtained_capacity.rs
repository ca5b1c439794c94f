use std::time::Duration;

use crate::types::Moment;

/// Time constant of the decay. Older observations say little, because targets are filled with other work by then.
const TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time for which the expected rate counts as obtained as long as little has been observed.
const PRIOR_TIME: Duration = Duration::from_millis(100);
/// Lower bound of the ratio. Targets can always be filled to this share, whatever the tasks; a lower ratio only shows
/// that too little work waited to use all of the capacity.
const MIN_RATIO: f64 = 0.7;
/// Upper bound of the ratio, as estimates of run times are rarely wrong by more.
const MAX_RATIO: f64 = 1.5;

/// Work that an entry has placed while its tasks waited, compared with the work that it was expected to place.
///
/// The ratio covers effects that the reported load does not show: gaps in the use of targets, capacity held by long
/// tasks, and needs that are reported late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObtainedCapacity {
    updated_at: Moment,
    /// Rate that the entry is expected to obtain now, in thousandths of a core, or `None` while no task waits.
    expected_rate: Option<f64>,
    /// Decayed sum of the expected work, in thousandths of a core times milliseconds.
    expected_work: f64,
    /// Decayed sum of the placed work, in thousandths of a core times milliseconds.
    obtained_work: f64,
}

impl ObtainedCapacity {
    /// Sets the rate that the entry is expected to obtain from now on, in thousandths of a core, or `None` while no
    /// task waits.
    pub(crate) fn set_expected_rate(&mut self, now: Moment, rate: Option<f64>) {
        self.advance(now);
        self.expected_rate = rate;
    }

    /// Records placed work.
    pub(crate) fn record(&mut self, work: u64) {
        if self.expected_rate.is_some() {
            self.obtained_work += work as f64;
        }
    }

    /// Subtracts placed work that was rejected by its side.
    pub(crate) fn subtract(&mut self, work: u64) {
        if self.expected_rate.is_some() {
            self.obtained_work = (self.obtained_work - work as f64).max(0.0);
        }
    }

    /// Returns the ratio of obtained to expected work, within [`MIN_RATIO`] and [`MAX_RATIO`].
    pub(crate) fn ratio(&self) -> f64 {
        let prior = self.expected_rate.unwrap_or_default() * millis(PRIOR_TIME);
        let expected_work = self.expected_work + prior;
        match expected_work > 0.0 {
            true => ((self.obtained_work + prior) / expected_work).clamp(MIN_RATIO, MAX_RATIO),
            false => 1.0,
        }
    }

    fn advance(&mut self, now: Moment) {
        let passed = now.since(self.updated_at);
        self.updated_at = now;
        // Periods without waiting tasks show nothing, so nothing decays during them.
        let Some(rate) = self.expected_rate else {
            return;
        };
        let decay = (-passed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.expected_work = self.expected_work * decay + rate * millis(passed);
        self.obtained_work *= decay;
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
