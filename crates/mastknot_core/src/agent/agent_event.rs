use super::{SessionId, TargetReport};
use crate::job::{EntryOrder, KnownEntry, RunId, TargetId, TargetProfile};

/// Why a target refused an order without doing anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A higher fencing token has been there; the target's clock in milliseconds.
    Fenced {
        /// The target's clock in milliseconds.
        clock_ms: u64,
    },
    /// This or a later attempt of the task has been there.
    OldAttempt,
    /// The order's time has passed.
    Late,
    /// No room.
    NoRoom,
    /// The target calls itself unhealthy.
    Unhealthy,
    /// The order is malformed or was never asked for.
    Rejected,
    /// Another life of the target answers.
    OtherIncarnation,
}

/// What became of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The run is there; the target's clock in milliseconds.
    Started {
        /// The target's clock in milliseconds.
        clock_ms: u64,
    },
    /// The target has done nothing.
    Refused(OrderRefusal),
    /// No connection could be made.
    Unreachable,
    /// No answer came: it may have been done or may be done later.
    NoAnswer,
}

/// Why a look at the target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// A higher fencing token has been there.
    Fenced {
        /// The target's clock in milliseconds.
        clock_ms: u64,
    },
    /// Another life of the target answers.
    OtherIncarnation,
    /// Nothing listens at the target's address.
    Refused,
    /// No answer in time, or none that can be read.
    Silent,
}

/// A run as its target lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRunning {
    /// The run.
    pub run: RunId,
    /// Its progress in percent.
    pub percent: u8,
}

/// How a target says that a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// The hold ran out.
    HoldExpired,
}

/// An ended run as its target lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetFinished {
    /// Its place in the target's list of ends.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub reason: FinishReason,
}

/// What one look at a target showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetView {
    /// The target's clock in milliseconds.
    pub clock_ms: u64,
    /// When the life that answered started, in Unix milliseconds; 0 if it does not say.
    pub started_at_ms: u64,
    /// What runs.
    pub running: Vec<TargetRunning>,
    /// What has ended since the last noted end.
    pub finished: Vec<TargetFinished>,
}

/// What a [`TargetAgent`](super::TargetAgent) is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// A link to an entry stands.
    LinkUp {
        /// The link.
        session: SessionId,
    },
    /// An entry's orders that arrived together.
    FromEntry {
        /// The link.
        session: SessionId,
        /// The orders.
        orders: Vec<EntryOrder>,
    },
    /// A link is gone.
    LinkDown {
        /// The link.
        session: SessionId,
    },
    /// The target reported itself.
    TargetReported(TargetReport),
    /// What the target once said of itself, as an earlier life of this process wrote it down.
    TargetRemembered(TargetProfile),
    /// The target has left by plan.
    TargetLeft {
        /// The life that left.
        target: TargetId,
    },
    /// An order to start has an outcome.
    OrderAnswered {
        /// The run.
        run: RunId,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// An order to stop has an outcome.
    StopAnswered {
        /// The run.
        run: RunId,
        /// Whether the target acknowledged it.
        is_acknowledged: bool,
    },
    /// A look has an outcome.
    Probed {
        /// The look.
        number: u64,
        /// What it showed.
        result: Result<TargetView, ProbeFailure>,
    },
    /// Entries were found outside of any link.
    EntriesFound(Vec<KnownEntry>),
    /// A moment that the agent asked for has come.
    Tick,
    /// The process is to end by plan.
    Stop,
}
