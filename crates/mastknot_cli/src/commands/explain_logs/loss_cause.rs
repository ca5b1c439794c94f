use std::fmt;

use super::job_record::{JobEnd, JobRecord};

/// Part of the latency objective after which the start of the last task counts as the reason why a
/// job was late.
const LONG_WAIT: f64 = 0.3;

/// Reason why a job did not complete within its latency objective. Each such job has one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LossCause {
    /// The job was refused because no target had capacity for any of its tasks.
    NoCapacity,
    /// The first tasks started, but the others found capacity late or not at all.
    NoCapacityForRest,
    /// A target did not answer an order, which had to be resolved before the job could go on.
    UnansweredOrder,
    /// A run was lost, stalled, or failed because of a fault of its target.
    BrokenRun,
    /// A task failed as often as the queue of the job allows.
    Failed,
    /// A task of the job crashes the targets on which it starts.
    CrashesTargets,
    /// All tasks started in time, but a task or its target was slow.
    SlowRun,
    /// The entry stopped or was suspended before it answered.
    NoAnswer,
    /// The caller disconnected before the answer.
    CallerDisconnected,
}

impl LossCause {
    /// Returns why a job was not done in time, or `None` if it was.
    pub(super) fn of(job: &JobRecord) -> Option<Self> {
        let cause = match job.end {
            JobEnd::InTime => return None,
            JobEnd::Refused => Self::NoCapacity,
            JobEnd::Failed => Self::Failed,
            JobEnd::CrashesTargets => Self::CrashesTargets,
            JobEnd::None => Self::NoAnswer,
            JobEnd::CallerDisconnected => Self::CallerDisconnected,
            JobEnd::Late | JobEnd::TimedOut if job.has_unanswered_order => Self::UnansweredOrder,
            JobEnd::Late | JobEnd::TimedOut if job.has_broken_run => Self::BrokenRun,
            JobEnd::TimedOut => Self::NoCapacityForRest,
            JobEnd::Late if job.last_start_ms > job.objective_ms * LONG_WAIT => {
                Self::NoCapacityForRest
            }
            JobEnd::Late => Self::SlowRun,
        };
        Some(cause)
    }
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NoCapacity => "no capacity",
            Self::NoCapacityForRest => "no capacity for rest",
            Self::UnansweredOrder => "unanswered order",
            Self::BrokenRun => "broken run",
            Self::Failed => "failed",
            Self::CrashesTargets => "crashes targets",
            Self::SlowRun => "slow run",
            Self::NoAnswer => "no answer",
            Self::CallerDisconnected => "caller left",
        })
    }
}
