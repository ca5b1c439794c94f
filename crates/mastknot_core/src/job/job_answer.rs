use std::time::Duration;

/// Why a job has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// A task has failed as often as its queue allows.
    TaskFailed,
    /// A task crashes the targets on which it starts.
    CrashesTargets,
    /// It was cancelled.
    Cancelled,
}

/// The final answer of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks have done their work.
    Completed,
    /// It can't be done, or need not be.
    Failed {
        /// Why.
        cause: FailureCause,
    },
    /// Nothing of it has run and nothing will; it may come again after this time.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
    /// Given up on after some of it may have run.
    TimedOut,
}
