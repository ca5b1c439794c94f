use std::time::Duration;

use bincode::{Decode, Encode};

use super::{RunId, TargetId, TaskKind};

/// Difference up to which two run times of the same task until a crash count as similar. A crash is
/// detected some milliseconds late, and run times are measured from the order instead of the start.
const RUN_TIME_TOLERANCE: Duration = Duration::from_millis(10);
/// Further tolerance for longer runs: the shorter run time divided by this number.
const RUN_TIME_DIVISOR: u32 = 64;

/// A run that was in progress when its target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashedRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Kind of the task.
    pub kind: TaskKind,
    /// Run time until the crash, in milliseconds, as far as the side knows.
    pub ran_ms: u32,
    /// Whether the target is known to have started the run.
    pub has_begun: bool,
    /// Whether the run had lasted as long as its caller expected. It may then have ended, with the
    /// report of its end lost in the crash.
    pub may_have_ended: bool,
}

impl CrashedRun {
    /// Returns the run time until the crash.
    pub fn ran(&self) -> Duration {
        Duration::from_millis(u64::from(self.ran_ms))
    }
}

/// Crash that ended an incarnation of a target. All runs on the target are listed, although a
/// single one may have caused the crash.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetCrash {
    /// The incarnation that has ended.
    pub target: TargetId,
    /// Time between the crash and the sending of this message, in milliseconds.
    pub ago_ms: u32,
    /// Whether the target was silent before the crash was detected, instead of resetting or
    /// refusing connections. The time of the crash is then unknown, and the runs lasted longer than
    /// reported here.
    pub was_silent: bool,
    /// Runs that were in progress, the most recently started first.
    pub runs: Vec<CrashedRun>,
}

/// Returns whether a task that ran for these times on two targets until they crashed may have
/// caused both crashes. A task that crashes targets does so at the same point of its work, while
/// crashes of other causes occur at any point.
pub fn are_similar_run_times(first: Duration, second: Duration) -> bool {
    let shorter = first.min(second);
    first.abs_diff(second) <= RUN_TIME_TOLERANCE + shorter / RUN_TIME_DIVISOR
}

/// Returns how long a task must run to show that it does not crash targets after the run time
/// `ran`.
pub fn trial_time(ran: Duration) -> Duration {
    ran + ran / RUN_TIME_DIVISOR + 2 * RUN_TIME_TOLERANCE
}
