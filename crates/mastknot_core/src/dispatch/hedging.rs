//! Hedges: second attempts beside slow first attempts.

use super::{DispatchEffect, Dispatcher};
use crate::decision::{Decision, Rule};
use crate::types::{Moment, SubmissionKey, TaskId};

impl Dispatcher {
    pub(super) fn start_due_hedges(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        while let Some((at, key)) = self.hedges.first().copied() {
            if at > now {
                return;
            }
            self.hedges.remove(&(at, key));
            self.hedge(now, key, out);
        }
    }

    /// Starts a second attempt of a repeatable request that has exactly one open attempt.
    pub(super) fn hedge(&mut self, now: Moment, key: SubmissionKey, out: &mut Vec<DispatchEffect>) {
        let Some(submission) = self.active.get(&key) else {
            return;
        };
        let task = TaskId { key, index: 0 };
        let attempts = submission.attempts.get(&0).map_or(&[][..], Vec::as_slice);
        let [only] = attempts else {
            return;
        };
        let (slow, queued_at) = (only.side.clone(), only.queued_at);
        let service = submission.service.clone();
        let team = submission.team.clone();
        // Hedges use spare capacity only.
        if self.queue.waiting() > 0 || !self.pool.has_credit(&service) {
            return;
        }
        if !self.retry_budget.try_spend() {
            self.counters.retry_budget_empty += 1;
            return;
        }
        let Some((side, credit, candidates)) = self.pool.take(now, &service, &[slow]) else {
            return;
        };
        self.counters.hedges += 1;
        self.queue.record_extra_start(&team);
        let decision = Decision::new(key, Rule::Hedge)
            .task(0)
            .chosen(side.clone(), candidates)
            .waited(now.since(queued_at));
        out.push(DispatchEffect::RecordDecision(decision));
        self.send_start(now, task, side, credit, queued_at, out);
    }
}
