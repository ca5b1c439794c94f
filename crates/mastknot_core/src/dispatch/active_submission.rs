use std::collections::HashMap;

use crate::config::Service;
use crate::message::{CreditSeq, Digest, Payload, TaskResult};
use crate::types::{Incarnation, Moment, NodeName};

/// One start of a task on a side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) side: NodeName,
    /// Incarnation of the side on whose link the start was sent.
    pub(crate) incarnation: Incarnation,
    pub(crate) credit: CreditSeq,
    /// Time at which the start was sent.
    pub(crate) at: Moment,
    /// Time from which the task waited in the queue.
    pub(crate) queued_at: Moment,
}

/// Accepted submission that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct ActiveSubmission {
    pub(crate) team: NodeName,
    pub(crate) customer: NodeName,
    pub(crate) service: NodeName,
    pub(crate) definition: Service,
    pub(crate) digest: Digest,
    pub(crate) is_request: bool,
    pub(crate) payloads: Vec<Payload>,
    pub(crate) results: Vec<Option<TaskResult>>,
    /// Number of tasks without a result.
    pub(crate) missing: u16,
    pub(crate) accepted_at: Moment,
    pub(crate) deadline: Moment,
    /// Attempts without an outcome yet, by task index.
    pub(crate) attempts: HashMap<u16, Vec<Attempt>>,
    /// Number of starts that sides reported as not run, over all tasks of the submission.
    pub(crate) not_run: u32,
    /// Whether the outcome of any start is unknown. If it is, the submission can't be refused as
    /// "not run".
    pub(crate) may_have_run: bool,
}

impl ActiveSubmission {
    /// Returns whether the submission is a request that may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.is_request && self.definition.repeatable
    }

    /// Removes and returns the first attempt of the task for which `matches` returns true.
    pub(crate) fn take_attempt(
        &mut self,
        index: u16,
        matches: impl Fn(&Attempt) -> bool,
    ) -> Option<Attempt> {
        let attempts = self.attempts.get_mut(&index)?;
        let found = attempts.iter().position(matches)?;
        let attempt = attempts.remove(found);
        if attempts.is_empty() {
            self.attempts.remove(&index);
        }
        Some(attempt)
    }

    /// Returns the sides that have an attempt without an outcome, sorted and without duplicates.
    pub(crate) fn running_sides(&self) -> Vec<NodeName> {
        let all = self.attempts.values().flatten();
        let mut sides: Vec<_> = all.map(|attempt| attempt.side.clone()).collect();
        sides.sort();
        sides.dedup();
        sides
    }
}
