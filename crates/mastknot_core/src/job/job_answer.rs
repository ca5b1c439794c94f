use std::time::Duration;

/// Reason why a job has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// A task has failed as often as its queue allows.
    TaskFailed,
    /// A task crashes the targets on which it starts.
    CrashesTargets,
    /// The job was cancelled.
    Cancelled,
}

/// Final answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks of the job have completed their work.
    Completed,
    /// The job cannot be completed, or no longer needs to be.
    Failed {
        /// Reason for the failure.
        cause: FailureCause,
    },
    /// Nothing of the job has run or will run. The caller may submit it again later.
    Refused {
        /// Time after which the caller may submit the job again.
        retry_after: Duration,
    },
    /// The entry gave up on the job; parts of the job may have run.
    TimedOut,
}
