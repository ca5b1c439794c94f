use bincode::{Decode, Encode};

use super::{NotRunReason, Payload, Refusal};

/// Whether the work of a submission ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The work is certain not to have started.
    NotRun,
    /// All of the work ran.
    Ran,
    /// Some of the work may have run.
    Unknown,
}

/// Answer of a target to one task.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TaskResult {
    /// HTTP status that the target returned.
    pub status: u16,
    /// Body of the answer.
    pub body: Payload,
}

/// Outcome of one start, as its side saw it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TaskOutcome {
    /// The target answered.
    Done(TaskResult),
    /// The target did not run the task; this is certain.
    NotRun(NotRunReason),
    /// The target's answer was lost; the task may have run.
    Lost,
    /// The task was stopped at its deadline or on request; it may have run.
    Stopped,
}

/// Reason why a submission failed after it was accepted.
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
    /// The work ran, but its answer is no longer kept.
    AnswerEvicted,
}

/// Final answer to an accepted submission. The submission is complete or failed, never partial.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SubmissionAnswer {
    /// Results of all tasks, in the order of the tasks.
    Complete(Vec<TaskResult>),
    /// The submission failed as a whole.
    Failed {
        /// Reason for the failure.
        reason: FailReason,
        /// Whether any of the work ran.
        ran: Ran,
    },
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reply {
    /// The final answer.
    Answered(SubmissionAnswer),
    /// The submission is accepted and not finished. Only callers that do not wait receive this
    /// reply.
    Pending {
        /// Number of tasks that have answered so far.
        done: u16,
        /// Total number of tasks.
        count: u16,
    },
    /// The submission was refused.
    Refused(Refusal),
}
