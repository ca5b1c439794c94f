//! Use of credits for waiting tasks of this entry or of a peer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::active_submission::Attempt;
use super::{DispatchEffect, Dispatcher, ServiceEstimate};
use crate::decision::{Decision, Rule};
use crate::message::{CreditSeq, EntryMessage, FailReason, SideCredit, TaskOrder};
use crate::types::{Moment, NodeName, TaskId};

/// Time after which a recorded peak of running tasks is replaced by the current number.
const PEAK_WINDOW: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Spends idle credits on waiting tasks, or lends them to a peer with more urgent tasks, until
    /// the credits or the tasks run out.
    pub(super) fn spend_credits(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        let mut lent: BTreeMap<NodeName, Vec<SideCredit>> = BTreeMap::new();
        while self.pool.idle() > 0 {
            if let Some(peer) = self.peer_to_lend_to(now, !lent.is_empty()) {
                if !self.lend_one(now, &peer, &mut lent) {
                    break;
                }
            } else if self.queue.waiting() == 0 || !self.start_next(now, out) {
                break;
            }
        }
        for (peer, credits) in lent {
            self.counters.credits_lent += credits.len() as u64;
            out.push(DispatchEffect::Lend { peer, credits });
        }
        if self.queue.waiting() > 0 {
            self.request_credits(now, out);
        }
    }

    /// Returns the peer to lend the next idle credit to, or `None` if the credit stays here.
    ///
    /// While no task waits here, credits are collected and lent in a batch.
    pub(super) fn peer_to_lend_to(&self, now: Moment, is_lending: bool) -> Option<NodeName> {
        if self.peer_requests.is_empty() {
            return None;
        }
        let own_order = self.queue.first_order();
        if own_order.is_none() && self.pool.idle() <= self.kept_credits() {
            return None;
        }
        let (peer, request) = self
            .peer_requests
            .iter()
            .filter(|(_, request)| {
                request.is_open(now) && request.takes_precedence(now, own_order, self.running)
            })
            .min_by_key(|(_, request)| request.demand.urgency)?;
        let batch = request.demand.wanted.min(self.profile.lend_batch) as usize;
        let may_lend = is_lending || own_order.is_some() || self.pool.idle() >= batch;
        may_lend.then(|| peer.clone())
    }

    /// Returns the number of idle credits that are not lent while no task waits here.
    pub(super) fn kept_credits(&self) -> usize {
        let all = self.running as usize + self.pool.idle();
        all * self.profile.keep_credits_percent as usize / 100
    }

    pub(super) fn lend_one(
        &mut self,
        now: Moment,
        peer: &NodeName,
        lent: &mut BTreeMap<NodeName, Vec<SideCredit>>,
    ) -> bool {
        let Some(credit) = self.pool.lend_one(now) else {
            return false;
        };
        if let Some(request) = self.peer_requests.get_mut(peer) {
            request.record_lent();
        }
        lent.entry(peer.clone()).or_default().push(credit);
        true
    }

    pub(super) fn start_next(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) -> bool {
        let pool = &self.pool;
        let cost = self.mean_cost_micros();
        let Some(queued) = self.queue.pop(cost, |service| pool.has_credit(service)) else {
            return false;
        };
        let task = queued.task;
        if self.is_too_late(now, task) {
            let team = self.active[&task.key].team.clone();
            self.queue.record_ended(&team);
            self.fail(now, task.key, FailReason::DeadlinePassed, out);
            return true;
        }
        let Some((side, credit, candidates)) = self.pool.take(now, &queued.service, &[]) else {
            return false;
        };
        let had_to_wait = now > queued.since;
        self.start_rate.record(now, had_to_wait);
        self.retry_budget.record_first_start();
        let decision = Decision::new(task.key, Rule::BestCredit)
            .task(task.index)
            .chosen(side.clone(), candidates)
            .waited(now.since(queued.since));
        out.push(DispatchEffect::RecordDecision(decision));
        self.send_start(now, task, side, credit, queued.since, out);
        true
    }

    /// Returns whether no task of a submission has started and its deadline leaves no time to run
    /// one. Such a submission is refused as "not run", and its slot goes to a submission that can
    /// meet its deadline.
    fn is_too_late(&self, now: Moment, task: TaskId) -> bool {
        let submission = &self.active[&task.key];
        if !submission.attempts.is_empty() || submission.may_have_run {
            return false;
        }
        let is_untouched = usize::from(submission.missing) == submission.results.len();
        let run = self.estimate(&submission.service, &submission.definition);
        is_untouched && now + run > submission.deadline
    }

    pub(super) fn mean_cost_micros(&self) -> u64 {
        let count = self.estimates.len().max(1) as u64;
        let sum: u64 = self
            .estimates
            .values()
            .map(|estimate| estimate.mean().as_micros() as u64)
            .sum();
        (sum / count).max(1)
    }

    pub(super) fn send_start(
        &mut self,
        now: Moment,
        task: TaskId,
        side: NodeName,
        credit: CreditSeq,
        queued_at: Moment,
        out: &mut Vec<DispatchEffect>,
    ) {
        let demand = self.demand();
        let incarnation = self
            .pool
            .update(now, &side, |side| {
                side.demand_sent_at = Some(now);
                side.incarnation()
            })
            .expect("a credit was taken from this side");
        let estimate = self.estimates.values().next().map(ServiceEstimate::mean);
        let submission = self.active.get_mut(&task.key).expect("queued is active");
        let left = submission.deadline.since(now);
        let order = TaskOrder {
            task,
            count: submission.results.len() as u16,
            digest: submission.digest,
            service: submission.service.clone(),
            deadline_ms: left.as_millis() as u32,
            payload: submission.payloads[usize::from(task.index)].clone(),
        };
        let attempt = Attempt {
            side: side.clone(),
            incarnation,
            credit,
            at: now,
            queued_at,
        };
        submission
            .attempts
            .entry(task.index)
            .or_default()
            .push(attempt);
        let may_hedge = submission.is_repeatable() && self.profile.hedge_after_percent > 0;
        if may_hedge {
            let usual = estimate.unwrap_or(submission.definition.typical());
            let after = usual * self.profile.hedge_after_percent / 100;
            self.hedges.insert((now + after, task.key));
        }
        self.running += 1;
        self.update_peak(now);
        self.counters.starts += 1;
        let message = EntryMessage::Start {
            incarnation,
            credit,
            order,
            demand,
        };
        out.push(DispatchEffect::ToSide { side, message });
    }

    pub(super) fn update_peak(&mut self, now: Moment) {
        let is_old = now.since(self.peak_at) > PEAK_WINDOW;
        if self.running >= self.peak_running || is_old {
            self.peak_running = self.running;
            self.peak_at = now;
        }
    }
}
