use bincode::{Decode, Encode};

use super::{NotRunReason, Payload, Refusal};

/// Whether a submission's work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing of it started, for certain.
    NotRun,
    /// All of it ran.
    Ran,
    /// Some of it may have run.
    Unknown,
}

/// What a target answered to one task.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TaskResult {
    /// The HTTP status of the target.
    pub status: u16,
    /// The body of its answer.
    pub body: Payload,
}

/// How one start ended, as its side saw it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TaskOutcome {
    /// The target answered.
    Done(TaskResult),
    /// The target did not run it, for certain.
    NotRun(NotRunReason),
    /// The target's answer was lost; the task may have run.
    Lost,
    /// The task was stopped at its deadline or on request; it may have run.
    Stopped,
}

/// Why a submission failed after it was accepted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum FailReason {
    /// The deadline passed before all tasks had answered.
    DeadlinePassed,
    /// The answer of a task was lost between its target and its side.
    AnswerLost,
    /// The side that ran a task was lost.
    SideLost,
    /// A task was stopped at its target.
    TaskStopped,
    /// The service was deleted while tasks waited.
    ServiceGone,
    /// The entry that held the submission was lost.
    HolderLost,
    /// The entry that held the submission stopped before it could finish.
    HolderStopped,
    /// The answer was kept no longer; the work ran.
    AnswerEvicted,
}

/// The final answer to an accepted submission: complete or failed, never partial.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SubmissionAnswer {
    /// Every task's result, in the order of the tasks.
    Complete(Vec<TaskResult>),
    /// The submission failed as a whole.
    Failed {
        /// Why.
        reason: FailReason,
        /// Whether anything of it ran.
        ran: Ran,
    },
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reply {
    /// The final answer.
    Answered(SubmissionAnswer),
    /// Accepted and not finished yet (only to a caller that does not wait).
    Pending {
        /// Tasks that have answered so far.
        done: u16,
        /// Tasks in all.
        count: u16,
    },
    /// Refused.
    Refused(Refusal),
}
