use std::time::Duration;

use crate::job::{CrashedRun, TargetCrash, TaskKind, are_similar_run_times};
use crate::types::Moment;

/// Run time up to which a task is a likely cause of its target's crash. The runs of unrelated tasks are rarely that
/// short when a target crashes under them for the second time.
pub(crate) const EARLY_CRASH: Duration = Duration::from_millis(100);

/// A run that was under way when its target crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunAtCrash {
    /// Number of the crash.
    pub(crate) crash_number: u64,
    /// Kind of the run's task.
    pub(crate) kind: TaskKind,
    /// Time of the crash.
    pub(crate) crashed_at: Moment,
    /// Time for which the run had lasted at the crash, as far as its side knows.
    pub(crate) time_to_crash: Duration,
    /// Whether the target is known to have started the run.
    pub(crate) has_begun: bool,
    /// Whether the run may have ended before the crash.
    pub(crate) may_have_ended: bool,
    /// Whether the time of the crash is known.
    pub(crate) is_timed: bool,
}

impl RunAtCrash {
    /// Creates the record of a run that was under way at the crash with this number and time.
    pub(crate) fn new(number: u64, at: Moment, crash: &TargetCrash, crashed: &CrashedRun) -> Self {
        Self {
            crash_number: number,
            kind: crashed.kind,
            crashed_at: at,
            time_to_crash: crashed.ran(),
            has_begun: crashed.has_begun,
            may_have_ended: crashed.may_have_ended,
            is_timed: !crash.was_silent,
        }
    }

    /// Returns whether the run was certainly under way at the crash and had started shortly before it.
    pub(crate) fn is_early(&self) -> bool {
        let is_certain = self.is_timed && self.has_begun && !self.may_have_ended;
        is_certain && self.time_to_crash <= EARLY_CRASH
    }

    /// Returns whether both runs lasted about the same time.
    pub(crate) fn is_similar(&self, other: &Self) -> bool {
        are_similar_run_times(self.time_to_crash, other.time_to_crash)
    }

    /// Returns whether one of the runs started after the target of the other had crashed. Tasks that start together
    /// have the same age when their targets crash together, whatever the cause.
    pub(crate) fn is_independent(&self, other: &Self) -> bool {
        let is_after = |later: &Self, earlier: &Self| {
            later.crashed_at >= earlier.crashed_at + later.time_to_crash
        };
        self.crash_number != other.crash_number && (is_after(self, other) || is_after(other, self))
    }
}
