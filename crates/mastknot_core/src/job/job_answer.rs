use std::time::Duration;

/// The final answer of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks have done their work.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// Nothing of it has run and nothing will; it may come again after this time.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
    /// Given up on after some of it may have run.
    TimedOut,
}
