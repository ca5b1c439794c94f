//! Reports of sides on started tasks, and the end of submissions.

use std::time::Duration;

use super::active_submission::Attempt;
use super::submissions::{MIN_RETRY_AFTER, NO_TARGET_RETRY_AFTER_MS};
use super::{DispatchEffect, Dispatcher, QueuedTask, SubmissionOutcome};
use crate::decision::{Decision, Rule};
use crate::message::{
    Credit, CreditSeq, EntryMessage, FailReason, NotRunReason, Ran, Refusal, RefusalReason,
    SubmissionAnswer, TaskOutcome,
};
use crate::types::{Incarnation, Moment, NodeName, SubmissionKey, TaskId};

/// Number of "not run" reports after which a submission is ended, in addition to one report for
/// each of its tasks.
const MAX_NOT_RUN: u32 = 16;
/// Lowest HTTP status that counts as an error of the target.
const ERROR_STATUS: u16 = 500;

impl Dispatcher {
    /// Handles the report of a side that a task has ended.
    #[allow(clippy::too_many_arguments)]
    pub fn answered(
        &mut self,
        now: Moment,
        side: &NodeName,
        incarnation: Incarnation,
        task: TaskId,
        outcome: TaskOutcome,
        run: Duration,
        next: Option<Credit>,
        out: &mut Vec<DispatchEffect>,
    ) {
        if let Some(credit) = next {
            self.keep(now, side, &[credit], false);
        }
        let matches =
            |attempt: &Attempt| attempt.side == *side && attempt.incarnation == incarnation;
        let Some(attempt) = self.take_attempt(now, task, matches) else {
            self.counters.unmatched_dropped += 1;
            self.spend_credits(now, out);
            return;
        };
        self.counters.answers += 1;
        match outcome {
            TaskOutcome::Done(result) => {
                self.record_run(now, task, side, run, result.status);
                self.task_done(now, task, result, out);
            }
            TaskOutcome::NotRun(reason) => {
                self.pool.update(now, side, |side| side.record_refusal(now));
                self.attempt_not_run(now, task, attempt, reason, out);
            }
            TaskOutcome::Lost => {
                self.attempt_lost(now, task, attempt, FailReason::AnswerLost, out);
            }
            TaskOutcome::Stopped => {
                self.attempt_lost(now, task, attempt, FailReason::TaskStopped, out);
            }
        }
        self.spend_credits(now, out);
    }

    /// Handles the report of a side that it did not start a task.
    #[allow(clippy::too_many_arguments)]
    pub fn not_run(
        &mut self,
        now: Moment,
        side: &NodeName,
        incarnation: Incarnation,
        task: TaskId,
        credit: CreditSeq,
        reason: NotRunReason,
        next: Option<Credit>,
        out: &mut Vec<DispatchEffect>,
    ) {
        if let Some(credit) = next {
            self.keep(now, side, &[credit], false);
        }
        let matches = |attempt: &Attempt| {
            attempt.side == *side && attempt.incarnation == incarnation && attempt.credit == credit
        };
        match self.take_attempt(now, task, matches) {
            Some(attempt) => self.attempt_not_run(now, task, attempt, reason, out),
            None => self.counters.unmatched_dropped += 1,
        }
        self.spend_credits(now, out);
    }

    pub(super) fn take_attempt(
        &mut self,
        now: Moment,
        task: TaskId,
        matches: impl Fn(&Attempt) -> bool,
    ) -> Option<Attempt> {
        let submission = self.active.get_mut(&task.key)?;
        let attempt = submission.take_attempt(task.index, matches)?;
        let team = submission.team.clone();
        self.pool.update(now, &attempt.side, |side| {
            side.record_received(attempt.at);
        });
        self.record_attempt_ended(now, &team, &attempt);
        Some(attempt)
    }

    pub(super) fn record_attempt_ended(&mut self, now: Moment, team: &NodeName, attempt: &Attempt) {
        self.queue.record_ended(team);
        self.running = self.running.saturating_sub(1);
        self.pool.update(now, &attempt.side, |side| {
            side.running = side.running.saturating_sub(1);
        });
    }

    pub(super) fn record_run(
        &mut self,
        now: Moment,
        task: TaskId,
        side: &NodeName,
        run: Duration,
        status: u16,
    ) {
        let service = &self.active[&task.key].service;
        let Some(estimate) = self.estimates.get_mut(service) else {
            return;
        };
        let ratio = run.as_secs_f64() / estimate.mean().as_secs_f64();
        let is_error = status >= ERROR_STATUS;
        if !is_error {
            estimate.record(run);
        }
        self.pool
            .update(now, side, |side| side.record_answer(now, ratio, is_error));
    }

    pub(super) fn task_done(
        &mut self,
        now: Moment,
        task: TaskId,
        result: crate::message::TaskResult,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(submission) = self.active.get_mut(&task.key) else {
            return;
        };
        let result_slot = &mut submission.results[usize::from(task.index)];
        debug_assert!(result_slot.is_none(), "task {task:?} was answered before");
        *result_slot = Some(result);
        submission.missing -= 1;
        if submission.missing > 0 {
            return;
        }
        let accepted_at = submission.accepted_at;
        let results = submission.results.iter_mut().filter_map(Option::take);
        let answer = SubmissionAnswer::Complete(results.collect());
        let decision = Decision::new(task.key, Rule::Completed).waited(now.since(accepted_at));
        out.push(DispatchEffect::RecordDecision(decision));
        self.end(now, task.key, SubmissionOutcome::Answered(answer), out);
    }

    /// Queues a task again whose start is known not to have run, or ends the submission after too
    /// many such reports.
    pub(super) fn attempt_not_run(
        &mut self,
        now: Moment,
        task: TaskId,
        attempt: Attempt,
        reason: NotRunReason,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.count_not_run(reason);
        if reason == NotRunReason::Draining {
            self.side_leaving(now, &attempt.side);
        }
        let Some(submission) = self.active.get_mut(&task.key) else {
            return;
        };
        submission.not_run += 1;
        let has_other_attempt = submission.attempts.contains_key(&task.index);
        if has_other_attempt {
            return;
        }
        let has_only_waited = submission.attempts.is_empty()
            && usize::from(submission.missing) == submission.results.len();
        let has_too_many_reports =
            submission.not_run > MAX_NOT_RUN + submission.results.len() as u32;
        if has_too_many_reports || reason == NotRunReason::DeadlinePassed {
            if has_only_waited && !submission.may_have_run {
                let refusal = Refusal::not_run(RefusalReason::TargetsRefused)
                    .retry_after_ms(NO_TARGET_RETRY_AFTER_MS);
                self.end(now, task.key, SubmissionOutcome::Refused(refusal), out);
                return;
            }
            return self.fail(now, task.key, FailReason::DeadlinePassed, out);
        }
        let queued = QueuedTask {
            task,
            service: submission.service.clone(),
            since: attempt.queued_at,
        };
        let (team, customer) = (submission.team.clone(), submission.customer.clone());
        let decision = Decision::new(task.key, Rule::NotRunAgain { reason })
            .task(task.index)
            .chosen(attempt.side, Vec::new());
        out.push(DispatchEffect::RecordDecision(decision));
        self.queue.put_back(&team, &customer, queued);
    }

    pub(super) fn count_not_run(&mut self, reason: NotRunReason) {
        let counter = match reason {
            NotRunReason::StaleCredit | NotRunReason::OldIncarnation => {
                &mut self.counters.retried_stale_credit
            }
            NotRunReason::Draining | NotRunReason::HallDrained => {
                &mut self.counters.retried_draining
            }
            NotRunReason::TargetRefused | NotRunReason::TargetDeclined => {
                &mut self.counters.retried_target_refused
            }
            NotRunReason::UnknownService
            | NotRunReason::DeadlinePassed
            | NotRunReason::Duplicate => &mut self.counters.retried_other,
        };
        *counter += 1;
    }

    /// Handles an attempt whose outcome is unknown because its answer is lost. Only a repeatable
    /// request is started again.
    pub(super) fn attempt_lost(
        &mut self,
        now: Moment,
        task: TaskId,
        attempt: Attempt,
        reason: FailReason,
        out: &mut Vec<DispatchEffect>,
    ) {
        let is_same = |other: &Attempt| *other == attempt;
        self.take_attempt(now, task, is_same);
        let Some(submission) = self.active.get_mut(&task.key) else {
            return;
        };
        submission.may_have_run = true;
        if submission.attempts.contains_key(&task.index) {
            return;
        }
        if submission.is_repeatable() && now < submission.deadline {
            if self.retry_budget.try_spend() {
                return self.start_again(task, attempt, out);
            }
            self.counters.retry_budget_empty += 1;
        }
        self.fail(now, task.key, reason, out);
    }

    pub(super) fn start_again(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        out: &mut Vec<DispatchEffect>,
    ) {
        let submission = &self.active[&task.key];
        let queued = QueuedTask {
            task,
            service: submission.service.clone(),
            since: attempt.queued_at,
        };
        let (team, customer) = (submission.team.clone(), submission.customer.clone());
        self.counters.retried_unknown += 1;
        let decision = Decision::new(task.key, Rule::UnknownAgain)
            .task(task.index)
            .chosen(attempt.side, Vec::new());
        out.push(DispatchEffect::RecordDecision(decision));
        self.queue.put_back(&team, &customer, queued);
    }

    pub(super) fn fail(
        &mut self,
        now: Moment,
        key: SubmissionKey,
        reason: FailReason,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(submission) = self.active.get(&key) else {
            return;
        };
        let has_nothing_started = submission.attempts.is_empty()
            && !submission.may_have_run
            && usize::from(submission.missing) == submission.results.len();
        let rule = Rule::Failed { reason };
        let decision = Decision::new(key, rule).waited(now.since(submission.accepted_at));
        out.push(DispatchEffect::RecordDecision(decision));
        if has_nothing_started {
            self.counters.expired_in_queue += 1;
            let refusal = Refusal::not_run(RefusalReason::DeadlineTooClose)
                .retry_after_ms(MIN_RETRY_AFTER.as_millis() as u32);
            return self.end(now, key, SubmissionOutcome::Refused(refusal), out);
        }
        let ran = Ran::Unknown;
        let answer = SubmissionAnswer::Failed { reason, ran };
        self.end(now, key, SubmissionOutcome::Answered(answer), out);
    }

    /// Ends a submission: removes its waiting tasks from the queue and stops its running tasks.
    pub(super) fn end(
        &mut self,
        now: Moment,
        key: SubmissionKey,
        outcome: SubmissionOutcome,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(submission) = self.active.remove(&key) else {
            return;
        };
        self.queue.remove(key);
        self.deadlines.remove(&(submission.deadline, key));
        for side in submission.running_sides() {
            self.counters.stops += 1;
            let message = EntryMessage::Stop { key };
            out.push(DispatchEffect::ToSide { side, message });
        }
        for attempt in submission.attempts.values().flatten() {
            if matches!(
                outcome,
                SubmissionOutcome::Answered(SubmissionAnswer::Complete(_))
            ) {
                self.counters.hedges_wasted += 1;
            }
            self.record_attempt_ended(now, &submission.team, attempt);
        }
        out.push(DispatchEffect::Ended { key, outcome });
    }
}
