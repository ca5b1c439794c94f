use super::{SessionId, TargetReport};
use crate::job::{EntryOrder, KnownEntry, RunId, TargetId, TargetProfile};

/// Reason for which a target refused an order without acting on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The target has already received a higher fencing token.
    Fenced {
        /// Target's clock in milliseconds.
        clock_ms: u64,
    },
    /// The target has already received this attempt of the task or a later one.
    OldAttempt,
    /// The time until which the order is valid has passed.
    Late,
    /// The target has no free capacity for the run.
    NoRoom,
    /// The target reports itself as unhealthy.
    Unhealthy,
    /// The order is malformed or concerns a run that was never requested.
    Rejected,
    /// Another incarnation of the target answers.
    OtherIncarnation,
}

/// Outcome of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target has started the run.
    Started {
        /// Target's clock in milliseconds.
        clock_ms: u64,
    },
    /// The target refused the order and did nothing.
    Refused(OrderRefusal),
    /// No connection to the target could be made.
    Unreachable,
    /// No answer arrived. The target may have started the run or may still start it.
    NoAnswer,
}

/// Reason for which a probe of the target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The target has already received a higher fencing token.
    Fenced {
        /// Target's clock in milliseconds.
        clock_ms: u64,
    },
    /// Another incarnation of the target answers.
    OtherIncarnation,
    /// No process listens at the target's address.
    Refused,
    /// No answer arrived in time, or the answer could not be read.
    Silent,
}

/// Running task as its target lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRunning {
    /// Identity of the run.
    pub run: RunId,
    /// Progress of the run in percent.
    pub percent: u8,
}

/// Reason for the end of a run, as the target reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The run completed its work.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The target ended the run because its hold expired.
    HoldExpired,
}

/// Ended run as its target lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetFinished {
    /// Number of this end in the target's list of ended runs.
    pub number: u64,
    /// Identity of the run.
    pub run: RunId,
    /// Reason for the end.
    pub reason: FinishReason,
}

/// State of a target as one probe shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetView {
    /// Target's clock in milliseconds.
    pub clock_ms: u64,
    /// Start time of the incarnation that answered, in Unix milliseconds; 0 if the target does not
    /// report it.
    pub started_at_ms: u64,
    /// Runs that are active.
    pub running: Vec<TargetRunning>,
    /// Runs that have ended since the last end that the side had recorded.
    pub finished: Vec<TargetFinished>,
}

/// Input of a [`TargetAgent`](super::TargetAgent).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// A link to an entry was established.
    LinkUp {
        /// New link.
        session: SessionId,
    },
    /// Orders of an entry arrived together.
    FromEntry {
        /// Link on which the orders arrived.
        session: SessionId,
        /// Orders in the sequence of their arrival.
        orders: Vec<EntryOrder>,
    },
    /// A link was closed.
    LinkDown {
        /// Closed link.
        session: SessionId,
    },
    /// The target reported its state.
    TargetReported(TargetReport),
    /// A profile of the target was read that an earlier incarnation of this process had stored.
    TargetRemembered(TargetProfile),
    /// The target has shut down as planned.
    TargetLeft {
        /// Incarnation that shut down.
        target: TargetId,
    },
    /// The call of the target with an order to start a run has ended, with an answer or without one.
    OrderAnswered {
        /// Run that was ordered.
        run: RunId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// The call of the target with an order to stop a run has ended, with an answer or without one.
    StopAnswered {
        /// Run that was to be stopped.
        run: RunId,
        /// Whether the target acknowledged the order.
        is_acknowledged: bool,
    },
    /// A probe of the target has ended, with an answer or without one.
    Probed {
        /// Number of the probe.
        number: u64,
        /// State of the target, or the reason of the failure.
        result: Result<TargetView, ProbeFailure>,
    },
    /// Entries were found by other means than a link.
    EntriesFound(Vec<KnownEntry>),
    /// A time has come that the agent requested with
    /// [`TargetAgent::next_tick`](super::TargetAgent::next_tick).
    Tick,
    /// The process is to shut down as planned.
    Stop,
}
