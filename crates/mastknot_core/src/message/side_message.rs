use bincode::{Decode, Encode};

use super::{Credit, CreditSeq, Digest, TaskOutcome};
use crate::types::{Hall, Incarnation, NodeName, SubmissionKey, TaskId};

/// What a side says of itself when it joins an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SideHello {
    /// The side's name.
    pub side: NodeName,
    /// The run of the side.
    pub incarnation: Incarnation,
    /// The hall it stands in.
    pub hall: Hall,
    /// How many tasks its target runs at once.
    pub slots: u16,
    /// Accelerators of its worker.
    pub accelerators: u16,
    /// Memory of its worker in MiB.
    pub memory_mib: u32,
    /// The services its target runs; none listed means all.
    pub services: Vec<NodeName>,
    /// The highest configuration version in force on it.
    pub config_version: u64,
}

/// Why a side did not run a task. Every reason here is certain: nothing started.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The credit was granted by an earlier run of the side.
    OldIncarnation,
    /// The credit has expired, was returned or was spent before.
    StaleCredit,
    /// The side is leaving.
    Draining,
    /// The side knows no service of this name.
    UnknownService,
    /// The deadline had passed when the start arrived.
    DeadlinePassed,
    /// The target refused the connection, so it saw nothing.
    TargetRefused,
    /// The target answered that it did not run the task.
    TargetDeclined,
    /// The task was seen before; it is not started again.
    Duplicate,
    /// The side's hall is drained. It may come back, unlike a side that is leaving.
    HallDrained,
}

/// One task that a side remembers, for rebuilding an answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RememberedTask {
    /// The task.
    pub task: TaskId,
    /// How many tasks its submission has.
    pub count: u16,
    /// The digest of its submission's content.
    pub digest: Digest,
    /// Its outcome, none while it runs.
    pub outcome: Option<TaskOutcome>,
}

/// What a side sends to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SideMessage {
    /// The first message on a link.
    Hello(SideHello),
    /// New credits.
    Grant {
        /// The credits.
        credits: Vec<Credit>,
        /// Slots that are neither taken nor granted.
        idle_slots: u16,
    },
    /// A task has ended; the next credit rides along.
    Answer {
        /// The task.
        task: TaskId,
        /// How it ended.
        outcome: TaskOutcome,
        /// The time it held the slot, in microseconds.
        run_micros: u32,
        /// The next credit for this entry, if the slot stays with it.
        next: Option<Credit>,
        /// Slots that are neither taken nor granted.
        idle_slots: u16,
    },
    /// A task was not started.
    NotRun {
        /// The task.
        task: TaskId,
        /// The credit it came with.
        credit: CreditSeq,
        /// Why.
        reason: NotRunReason,
        /// The next credit, if a slot is free.
        next: Option<Credit>,
    },
    /// The highest configuration version in force on the side.
    ConfigInForce {
        /// The version.
        version: u64,
    },
    /// The side grants nothing any more; what runs will end.
    Leaving,
    /// What the side remembers of a submission.
    Remembered {
        /// The submission asked about.
        key: SubmissionKey,
        /// The tasks of it that were started here.
        tasks: Vec<RememberedTask>,
    },
    /// The side is alive; sent when nothing else was for a while.
    Heartbeat,
}
