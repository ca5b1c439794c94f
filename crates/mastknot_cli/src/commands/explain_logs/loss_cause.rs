use std::fmt;

use super::job_record::{JobEnd, JobRecord};

/// A last start later than this part of the objective cost the job its time.
const LONG_WAIT: f64 = 0.3;

/// Why a job was not done in time; each such job has one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LossCause {
    /// It was refused: nothing of it found room.
    NoRoom,
    /// It began, and the rest of it found room late or not at all.
    NoRoomForRest,
    /// An order to a target got no answer and had to be cleared first.
    UnansweredOrder,
    /// A run was lost, stood still, or failed by its target's fault.
    BrokenRun,
    /// Its tasks failed as often as its queue allows.
    Failed,
    /// A task of it crashes the targets on which it starts.
    CrashesTargets,
    /// All of it started in time: its work, or its target, was slow.
    SlowRun,
    /// Its entry ended or stood still before the answer.
    NoAnswer,
    /// Its caller left before the answer.
    CallerLeft,
}

impl LossCause {
    /// Why a job was lost, or nothing if it was done in time.
    pub(super) fn of(job: &JobRecord) -> Option<Self> {
        let cause = match job.end {
            JobEnd::InTime => return None,
            JobEnd::Refused => Self::NoRoom,
            JobEnd::Failed => Self::Failed,
            JobEnd::CrashesTargets => Self::CrashesTargets,
            JobEnd::None => Self::NoAnswer,
            JobEnd::CallerLeft => Self::CallerLeft,
            JobEnd::Late | JobEnd::GivenUp if job.has_unanswered_order => Self::UnansweredOrder,
            JobEnd::Late | JobEnd::GivenUp if job.has_broken_run => Self::BrokenRun,
            JobEnd::GivenUp => Self::NoRoomForRest,
            JobEnd::Late if job.last_start_ms > job.objective_ms * LONG_WAIT => Self::NoRoomForRest,
            JobEnd::Late => Self::SlowRun,
        };
        Some(cause)
    }
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NoRoom => "no room",
            Self::NoRoomForRest => "no room for the rest",
            Self::UnansweredOrder => "unanswered order",
            Self::BrokenRun => "broken run",
            Self::Failed => "failed",
            Self::CrashesTargets => "crashes targets",
            Self::SlowRun => "slow run",
            Self::NoAnswer => "no answer",
            Self::CallerLeft => "caller left",
        })
    }
}
