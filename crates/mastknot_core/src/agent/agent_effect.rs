use std::sync::Arc;
use std::time::Duration;

use super::{AgentDecision, SessionId};
use crate::job::{KnownEntry, RunId, SideReport, TargetId, TargetProfile};

/// Action that a [`TargetAgent`](super::TargetAgent) requests from the process that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEffect {
    /// Send a report to an entry.
    Send {
        /// Link on which the report is sent.
        session: SessionId,
        /// Report to send.
        report: SideReport,
    },
    /// Close a link permanently.
    Close {
        /// Link to close.
        session: SessionId,
    },
    /// Order the target to start a run.
    Order {
        /// Run to start.
        run: RunId,
        /// Payload that the target receives.
        payload: Arc<str>,
        /// Time until which the target holds the run, on the target's clock in milliseconds.
        hold_until_ms: u64,
        /// Fencing token of the order.
        token: u64,
        /// Incarnation of the target to which the order is addressed, if known.
        target: Option<TargetId>,
        /// Time after which the order counts as unanswered and a probe looks for the run.
        timeout: Duration,
    },
    /// Order the target to stop a run.
    StopRun {
        /// Run to stop.
        run: RunId,
        /// Fencing token of the order.
        token: u64,
        /// Time after which an unanswered order counts as not acknowledged and is sent again.
        timeout: Duration,
    },
    /// Probe the target, and extend the hold of its runs if a time is given.
    Probe {
        /// Number of the probe.
        number: u64,
        /// Time until which the target holds its runs, on the target's clock in milliseconds.
        hold_until_ms: Option<u64>,
        /// Fencing token of the probe.
        token: u64,
        /// Highest number of an ended run that the side has already recorded.
        last_seen: u64,
        /// Time that the target may delay its answer while it waits for a run to end.
        wait: Duration,
        /// Incarnation of the target to which the probe is addressed, if known.
        target: Option<TargetId>,
        /// Time after which an unanswered probe has failed.
        timeout: Duration,
    },
    /// Use this list of entries and dial those that have no link.
    DialEntries(Vec<KnownEntry>),
    /// Store the profile of the target, because the reported profile has changed or a new
    /// incarnation has reported.
    StoreProfile(TargetProfile),
    /// Log a decision.
    Decided(AgentDecision),
    /// Report that every run has ended, so that the process may exit.
    Drained,
}
