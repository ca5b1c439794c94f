use std::sync::Arc;
use std::time::Duration;

use super::{AgentDecision, SessionId};
use crate::job::{KnownEntry, RunId, SideReport, TargetId, TargetProfile};

/// What a [`TargetAgent`](super::TargetAgent) wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEffect {
    /// Send a report.
    Send {
        /// The link.
        session: SessionId,
        /// The report.
        report: SideReport,
    },
    /// Close a link for good.
    Close {
        /// The link.
        session: SessionId,
    },
    /// Order the target to start a run.
    Order {
        /// The run.
        run: RunId,
        /// What the target is given.
        payload: Arc<str>,
        /// The hold, on the target's clock in milliseconds.
        hold_until_ms: u64,
        /// The fencing token.
        token: u64,
        /// The life of the target that is meant.
        target: Option<TargetId>,
        /// Without an answer after this the order is looked for.
        timeout: Duration,
    },
    /// Order the target to stop a run.
    StopRun {
        /// The run.
        run: RunId,
        /// The fencing token.
        token: u64,
        /// Without an answer after this it is sent again.
        timeout: Duration,
    },
    /// Look at the target, and renew its hold if a time is given.
    Probe {
        /// The look.
        number: u64,
        /// The hold, on the target's clock in milliseconds.
        hold_until_ms: Option<u64>,
        /// The fencing token.
        token: u64,
        /// The highest end that has been noted.
        last_seen: u64,
        /// How long the answer may wait for an end.
        wait: Duration,
        /// The life of the target that is meant.
        target: Option<TargetId>,
        /// Without an answer after this the look has failed.
        timeout: Duration,
    },
    /// These entries are known; dial those that have no link.
    DialEntries(Vec<KnownEntry>),
    /// Another life of the target has reported; worth writing down.
    StoreProfile(TargetProfile),
    /// Something was decided.
    Decided(AgentDecision),
    /// Everything that ran has ended; the process may end.
    Drained,
}
