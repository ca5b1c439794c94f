use std::sync::Arc;

use super::CallerId;
use crate::types::{Moment, NodeName};

/// Side that knows of a cancel, on its current link.
#[derive(Clone, Debug)]
struct NotifiedSide {
    name: NodeName,
    /// Whether the side has answered the cancel that this entry sent.
    has_answered: bool,
}

/// Cancelled job, as an entry remembers it.
#[derive(Clone, Debug)]
pub(crate) struct CancelledJob {
    /// Entry at which the cancel was requested.
    pub(crate) by: NodeName,
    /// Whether an entry is known to have had the job.
    pub(crate) was_found: bool,
    notified: Vec<NotifiedSide>,
}

impl CancelledJob {
    pub(crate) fn new(by: NodeName) -> Self {
        Self {
            by,
            was_found: false,
            notified: Vec::new(),
        }
    }

    /// Returns the names of the sides that know of the cancel.
    pub(crate) fn notified(&self) -> impl Iterator<Item = &NodeName> {
        self.notified.iter().map(|side| &side.name)
    }

    pub(crate) fn is_notified(&self, side: &NodeName) -> bool {
        self.notified().any(|name| name == side)
    }

    pub(crate) fn has_answered(&self, side: &NodeName) -> bool {
        let mut notified = self.notified.iter();
        notified.any(|other| other.name == *side && other.has_answered)
    }

    /// Records that a side knows of the cancel.
    pub(crate) fn record_notified(&mut self, side: &NodeName) {
        if !self.is_notified(side) {
            self.notified.push(NotifiedSide {
                name: side.clone(),
                has_answered: false,
            });
        }
    }

    /// Records the answer of a side; returns whether the side was asked.
    pub(crate) fn record_answered(&mut self, side: &NodeName) -> bool {
        let mut notified = self.notified.iter_mut();
        let notified = notified.find(|other| other.name == *side);
        notified.map(|side| side.has_answered = true).is_some()
    }

    /// Forgets that a side knows of the cancel; returns whether it did.
    pub(crate) fn forget_notified(&mut self, side: &NodeName) -> bool {
        let before = self.notified.len();
        self.notified.retain(|other| other.name != *side);
        self.notified.len() < before
    }

    /// Forgets all sides, so that each of them is asked again.
    pub(crate) fn forget_all_notified(&mut self) {
        self.notified.clear();
    }
}

/// Cancel that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCancel {
    /// Callers that wait for the outcome.
    pub(crate) callers: Vec<CallerId>,
    /// Identifier of the first caller's request.
    pub(crate) request_id: Arc<str>,
    /// Time at which the cancel was requested.
    pub(crate) since: Moment,
    /// Time at which the callers are answered at the latest.
    pub(crate) due: Moment,
    /// Entry that has the job, and the time for which it had it then, in milliseconds.
    pub(crate) holder: Option<(NodeName, u64)>,
    /// Whether an entry that has the job can't be notified.
    pub(crate) is_unreached: bool,
}
