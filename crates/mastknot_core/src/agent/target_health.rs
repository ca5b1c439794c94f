use std::time::Duration;

use crate::types::Moment;

/// Number of failures in a row from which a target is on probation.
const PROBATION_AFTER: u32 = 3;
/// Number of failures in a row from which a failure is attributed to the target.
const SUSPECT_FROM: u32 = 2;
/// Number of failures that a stalled run counts as.
const STALL_WEIGHT: u32 = 2;
/// First pause of a target on probation. Each further failure doubles the pause, up to
/// [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the pause of a target on probation.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Health of a target, derived from the ends of its recent runs.
///
/// A target that fails or stalls whatever it starts looks idle and would attract all work. After
/// several failures in a row such a target gets one run at a time, with growing pauses, until one
/// run succeeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failures: u32,
    pauses: u32,
    paused_until: Moment,
}

impl TargetHealth {
    /// Records a run that completed its work.
    pub fn record_done(&mut self) {
        self.failures = 0;
        self.pauses = 0;
    }

    /// Records a failed run; returns whether the failure is attributed to the target.
    pub fn record_failed(&mut self, now: Moment) -> bool {
        self.add_failures(1, now)
    }

    /// Records a run that was stopped because it made no progress.
    pub fn record_stalled(&mut self, now: Moment) {
        self.add_failures(STALL_WEIGHT, now);
    }

    fn add_failures(&mut self, count: u32, now: Moment) -> bool {
        self.failures = self.failures.saturating_add(count);
        if self.is_on_probation() {
            let pause = FIRST_PAUSE * (1 << self.pauses.min(8));
            self.paused_until = now + pause.min(MAX_PAUSE);
            self.pauses += 1;
        }
        self.failures >= SUSPECT_FROM
    }

    /// Returns whether the target gets only one run at a time.
    pub fn is_on_probation(&self) -> bool {
        self.failures >= PROBATION_AFTER
    }

    /// Returns the time until which the target gets no runs at all.
    pub fn paused_until(&self) -> Moment {
        self.paused_until
    }
}
