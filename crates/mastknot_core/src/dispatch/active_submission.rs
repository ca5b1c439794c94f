use std::collections::HashMap;

use crate::config::Service;
use crate::message::{CreditSeq, Digest, Payload, TaskResult};
use crate::types::{Incarnation, Moment, NodeName};

/// One start of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) side: NodeName,
    /// The run of the side on whose link the start was sent.
    pub(crate) incarnation: Incarnation,
    pub(crate) credit: CreditSeq,
    pub(crate) at: Moment,
    pub(crate) queued_at: Moment,
}

/// A submission between its acceptance and its answer.
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
    pub(crate) missing: u16,
    pub(crate) accepted_at: Moment,
    pub(crate) deadline: Moment,
    /// The attempts that run, by task.
    pub(crate) attempts: HashMap<u16, Vec<Attempt>>,
    /// Starts that a side called "not run", over all tasks.
    pub(crate) not_run: u32,
    /// Whether any start was sent and not called "not run" since.
    pub(crate) may_have_run: bool,
}

impl ActiveSubmission {
    /// Whether the submission is a request that may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.is_request && self.definition.repeatable
    }

    /// Takes the attempt out that `matches`, if one does.
    pub(crate) fn take_attempt(
        &mut self,
        index: u16,
        matches: impl Fn(&Attempt) -> bool,
    ) -> Option<Attempt> {
        let attempts = self.attempts.get_mut(&index)?;
        let place = attempts.iter().position(matches)?;
        let attempt = attempts.remove(place);
        if attempts.is_empty() {
            self.attempts.remove(&index);
        }
        Some(attempt)
    }

    /// The sides that run an attempt now.
    pub(crate) fn running_sides(&self) -> Vec<NodeName> {
        let all = self.attempts.values().flatten();
        let mut sides: Vec<_> = all.map(|attempt| attempt.side.clone()).collect();
        sides.sort();
        sides.dedup();
        sides
    }
}
