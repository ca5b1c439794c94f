use std::time::Duration;

use crate::job::{CrashedRun, TargetCrash, TaskKind, are_similar_run_times};
use crate::types::Moment;

/// A target that crashes so soon after a start may well have been crashed by it: runs of innocent tasks are seldom
/// that young when their target crashes for the second time.
pub(crate) const SOON: Duration = Duration::from_millis(100);

/// A run whose target crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunAtCrash {
    /// The number of the crash.
    pub(crate) crash: u64,
    /// The kind of its task.
    pub(crate) kind: TaskKind,
    /// When that was.
    pub(crate) crashed: Moment,
    /// How long it had run, as far as its side knows.
    pub(crate) ran: Duration,
    /// Whether its target is known to have started it.
    pub(crate) has_begun: bool,
    /// Whether it may have ended before the crash.
    pub(crate) may_have_ended: bool,
    /// Whether the time of the crash is known.
    pub(crate) is_timed: bool,
}

impl RunAtCrash {
    /// A run that was under way at the crash with this number, which came at this moment.
    pub(crate) fn new(number: u64, at: Moment, crash: &TargetCrash, crashed: &CrashedRun) -> Self {
        Self {
            crash: number,
            kind: crashed.kind,
            crashed: at,
            ran: crashed.ran(),
            has_begun: crashed.has_begun,
            may_have_ended: crashed.may_have_ended,
            is_timed: !crash.was_silent,
        }
    }

    /// Whether its target certainly crashed under it, and soon after its start.
    pub(crate) fn is_soon(&self) -> bool {
        let is_certain = self.is_timed && self.has_begun && !self.may_have_ended;
        is_certain && self.ran <= SOON
    }

    /// Whether both went on for about the same time.
    pub(crate) fn is_alike(&self, other: &Self) -> bool {
        are_similar_run_times(self.ran, other.ran)
    }

    /// Whether one of the two began after the other's target had crashed. Tasks that begin together have the same age when
    /// their targets crash together, whatever brings that about.
    pub(crate) fn is_apart(&self, other: &Self) -> bool {
        let is_after = |later: &Self, earlier: &Self| later.crashed >= earlier.crashed + later.ran;
        self.crash != other.crash && (is_after(self, other) || is_after(other, self))
    }
}
