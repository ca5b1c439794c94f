use std::time::Duration;

use crate::types::Moment;

/// After this many failures in a row a target is on probation.
const PROBATION_AFTER: u32 = 3;
/// From this many failures in a row on, a failure is put down to the target.
const SUSPECT_FROM: u32 = 2;
/// A run that stands still counts as this many failures.
const STALL_WEIGHT: u32 = 2;
/// The first pause of a target on probation; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause of a target on probation.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// How a target's recent ends change what it is given.
///
/// A target that fails or stalls what it starts looks idle and would draw all work. After a few
/// failures in a row it gets one run at a time, with growing pauses, until one is done.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failures: u32,
    pauses: u32,
    paused_until: Moment,
}

impl TargetHealth {
    /// A run was done.
    pub fn record_done(&mut self) {
        self.failures = 0;
        self.pauses = 0;
    }

    /// A run failed; returns whether the target is to blame.
    pub fn record_failed(&mut self, now: Moment) -> bool {
        self.add_failures(1, now)
    }

    /// A run stood still.
    pub fn record_stalled(&mut self, now: Moment) {
        self.add_failures(STALL_WEIGHT, now);
    }

    fn add_failures(&mut self, count: u32, now: Moment) -> bool {
        self.failures = self.failures.saturating_add(count);
        if self.is_on_probation() {
            let pause = FIRST_PAUSE * (1 << self.pauses.min(8));
            self.paused_until = now + pause.min(LONGEST_PAUSE);
            self.pauses += 1;
        }
        self.failures >= SUSPECT_FROM
    }

    /// Whether the target gets one run at a time.
    pub fn is_on_probation(&self) -> bool {
        self.failures >= PROBATION_AFTER
    }

    /// Until when the target gets nothing at all.
    pub fn paused_until(&self) -> Moment {
        self.paused_until
    }
}
