use bincode::{Decode, Encode};

use super::{Credit, CreditSeq, Digest, TaskOutcome};
use crate::types::{Hall, Incarnation, NodeName, SubmissionKey, TaskId};

/// Description that a side sends when it connects to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SideHello {
    /// Name of the side.
    pub side: NodeName,
    /// Incarnation of the side.
    pub incarnation: Incarnation,
    /// Hall of the side.
    pub hall: Hall,
    /// Number of tasks that the target runs at the same time.
    pub slots: u16,
    /// Number of accelerators of the worker.
    pub accelerators: u16,
    /// Memory of the worker, in MiB.
    pub memory_mib: u32,
    /// Services that the target runs; an empty list means all services.
    pub services: Vec<NodeName>,
    /// Highest configuration version in force at the side.
    pub config_version: u64,
}

/// Reason why a side did not run a task. With each of these reasons it is certain that nothing
/// started.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The credit was granted by an earlier incarnation of the side.
    OldIncarnation,
    /// The credit has expired, was returned or was already spent.
    StaleCredit,
    /// The side is leaving.
    Draining,
    /// The side knows no service of this name.
    UnknownService,
    /// The deadline had passed when the start arrived.
    DeadlinePassed,
    /// The target refused the connection, so it did not receive the task.
    TargetRefused,
    /// The target answered that it did not run the task.
    TargetDeclined,
    /// The side has seen the task before and does not start it again.
    Duplicate,
    /// The side's hall is drained. Unlike a side that is leaving, the side may return to service.
    HallDrained,
}

/// One task that a side remembers, used to rebuild the answer of its submission.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RememberedTask {
    /// The task.
    pub task: TaskId,
    /// Number of tasks in the submission.
    pub count: u16,
    /// Digest of the submission's content.
    pub digest: Digest,
    /// Outcome of the task; `None` while it runs.
    pub outcome: Option<TaskOutcome>,
}

/// Message from a side to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SideMessage {
    /// First message on a link.
    Hello(SideHello),
    /// Grants new credits.
    Grant {
        /// The credits.
        credits: Vec<Credit>,
        /// Number of slots that are neither in use nor granted.
        idle_slots: u16,
    },
    /// Reports that a task has ended, and may grant the next credit in the same message.
    Answer {
        /// The task.
        task: TaskId,
        /// Outcome of the task.
        outcome: TaskOutcome,
        /// Time for which the task occupied the slot, in microseconds.
        run_micros: u32,
        /// Next credit for this entry, if the slot stays with it.
        next: Option<Credit>,
        /// Number of slots that are neither in use nor granted.
        idle_slots: u16,
    },
    /// Reports that a task was not started.
    NotRun {
        /// The task.
        task: TaskId,
        /// Credit with which the start was ordered.
        credit: CreditSeq,
        /// Reason why the task was not started.
        reason: NotRunReason,
        /// Next credit for this entry, if a slot is free.
        next: Option<Credit>,
    },
    /// Reports the highest configuration version in force at the side.
    ConfigInForce {
        /// The version.
        version: u64,
    },
    /// Reports that the side grants no more credits and lets its running tasks end.
    Leaving,
    /// Tasks of a submission that the side remembers.
    Remembered {
        /// Key of the submission that was asked about.
        key: SubmissionKey,
        /// Tasks of the submission that were started on this side.
        tasks: Vec<RememberedTask>,
    },
    /// Shows that the side is alive; sent when the side has sent no other message for some time.
    Heartbeat,
}
