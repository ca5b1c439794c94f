use std::time::Duration;

use bincode::{Decode, Encode};

use super::{RunId, TargetId, TaskKind};

/// Two times that the same task ran until its target crashed differ by less than this: the crash is noticed some
/// milliseconds late, and the clock of the start is that of the order.
const ALIKE_SLACK: Duration = Duration::from_millis(10);
/// Longer runs may differ by this part of the shorter one besides.
const ALIKE_SHARE: u32 = 64;

/// A run that was under way when its target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashedRun {
    /// The run.
    pub run: RunId,
    /// The kind of its task.
    pub kind: TaskKind,
    /// How long it had run, in milliseconds, as far as its side knows.
    pub ran_ms: u32,
    /// Whether the target is known to have started it.
    pub has_begun: bool,
    /// Whether it had gone on for as long as its caller expected: it may have ended, and the word of that was lost with
    /// its target.
    pub may_have_ended: bool,
}

impl CrashedRun {
    /// How long it had run.
    pub fn ran(&self) -> Duration {
        Duration::from_millis(u64::from(self.ran_ms))
    }
}

/// A life of a target has ended by a crash: all that ran there shares it, though one run may have brought it about.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetCrash {
    /// The life that has ended.
    pub target: TargetId,
    /// How long ago that was when this was sent, in milliseconds.
    pub ago_ms: u32,
    /// Whether the target was silent before this was known, in place of resetting and refusing connections: when it
    /// crashed is not known then, and runs went on for longer than is said here.
    pub was_silent: bool,
    /// What ran there, the youngest first.
    pub runs: Vec<CrashedRun>,
}

/// Whether a task that ran for these times until its targets crashed may have crashed both: what a task does to
/// a target comes at the same point of its work, while a crash of other causes finds it at any.
pub fn are_similar_run_times(first: Duration, second: Duration) -> bool {
    let shorter = first.min(second);
    first.abs_diff(second) <= ALIKE_SLACK + shorter / ALIKE_SHARE
}

/// How long a task must run to show that it does not crash targets after this time.
pub fn trial_time(ran: Duration) -> Duration {
    ran + ran / ALIKE_SHARE + 2 * ALIKE_SLACK
}
