//! Admission of submissions to the queue, or their immediate refusal.

use std::collections::HashMap;
use std::time::Duration;

use super::active_submission::ActiveSubmission;
use super::{DispatchEffect, Dispatcher, NewSubmission, ServiceEstimate};
use crate::config::Service;
use crate::decision::{Decision, Rule};
use crate::message::{Refusal, RefusalReason, Submission, SubmissionKind};
use crate::types::{Moment, NodeName};

/// Minimum retry delay in a refusal.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry delay in milliseconds in a refusal because no target runs the service or accepts the
/// task.
pub(super) const NO_TARGET_RETRY_AFTER_MS: u32 = 1_000;

impl Dispatcher {
    /// Admits a submission to the queue, or returns the refusal.
    pub fn submit(
        &mut self,
        now: Moment,
        submission: &Submission,
        definition: Service,
        out: &mut Vec<DispatchEffect>,
    ) -> Result<(), Refusal> {
        let count = submission.tasks.len() as u16;
        let ahead = self.queue.ahead_of(&submission.team, &submission.customer);
        let wait = self.expected_wait(now, &submission.service, &definition, ahead, count);
        let admitted = self.admit(now, submission, &definition, wait);
        if let Err(refusal) = admitted {
            let rule = Rule::Refused {
                reason: refusal.reason,
                expected_wait_ms: wait.as_millis() as u64,
            };
            out.push(DispatchEffect::RecordDecision(Decision::new(
                submission.key,
                rule,
            )));
            return Err(refusal);
        }
        let rule = Rule::Accepted {
            expected_wait_ms: wait.as_millis() as u64,
            ahead,
        };
        out.push(DispatchEffect::RecordDecision(Decision::new(
            submission.key,
            rule,
        )));
        self.enqueue(now, submission, definition);
        self.spend_credits(now, out);
        Ok(())
    }

    pub(super) fn enqueue(&mut self, now: Moment, submission: &Submission, definition: Service) {
        let count = submission.tasks.len() as u16;
        let limit = submission.deadline_ms.min(definition.max_deadline_ms);
        let deadline = now + Duration::from_millis(u64::from(limit));
        let key = submission.key;
        self.estimates
            .entry(submission.service.clone())
            .or_insert_with(|| ServiceEstimate::new(definition.typical()));
        let work = NewSubmission {
            team: submission.team.clone(),
            customer: submission.customer.clone(),
            service: submission.service.clone(),
            key,
            count,
            deadline,
        };
        self.queue.push(now, work);
        self.deadlines.insert((deadline, key));
        self.counters.tasks_queued += u64::from(count);
        let active = ActiveSubmission {
            team: submission.team.clone(),
            customer: submission.customer.clone(),
            service: submission.service.clone(),
            definition,
            digest: submission.digest(),
            is_request: submission.kind == SubmissionKind::Request,
            payloads: submission.tasks.clone(),
            results: vec![None; usize::from(count)],
            missing: count,
            accepted_at: now,
            deadline,
            attempts: HashMap::new(),
            not_run: 0,
            may_have_run: false,
        };
        self.active.insert(key, active);
    }

    pub(super) fn estimate(&self, service: &NodeName, definition: &Service) -> Duration {
        self.estimates
            .get(service)
            .map_or(definition.typical(), ServiceEstimate::mean)
    }

    /// Estimates the time until the last of `count` new tasks is started.
    pub(super) fn expected_wait(
        &self,
        now: Moment,
        service: &NodeName,
        definition: &Service,
        ahead: u32,
        count: u16,
    ) -> Duration {
        let before_last = (ahead + u32::from(count)).saturating_sub(self.pool.idle() as u32);
        if before_last == 0 {
            return Duration::ZERO;
        }
        let mean = self.estimate(service, definition).as_secs_f64();
        let slots = f64::from(self.pool.slots(service)) / f64::from(self.entries);
        let by_slots = slots / mean;
        let by_slots = by_slots.max(f64::MIN_POSITIVE);
        // The measured start rate is more reliable than a rate computed from slots.
        let rate = self.start_rate.per_second(now).unwrap_or(by_slots);
        Duration::try_from_secs_f64(f64::from(before_last) / rate).unwrap_or(Duration::MAX)
    }

    pub(super) fn admit(
        &self,
        now: Moment,
        submission: &Submission,
        definition: &Service,
        wait: Duration,
    ) -> Result<(), Refusal> {
        let count = submission.tasks.len() as u32;
        let retry_after = wait.clamp(MIN_RETRY_AFTER, Duration::from_secs(10));
        let later = |reason| {
            let refusal = Refusal::not_run(reason);
            Err(refusal.retry_after_ms(retry_after.as_millis() as u32))
        };
        let has_target = self
            .pool
            .sides()
            .any(|(_, side)| !side.is_leaving && side.runs_service(&submission.service));
        if !has_target {
            let refusal = Refusal::not_run(RefusalReason::NoTarget);
            return Err(refusal.retry_after_ms(NO_TARGET_RETRY_AFTER_MS));
        }
        if self.queue.waiting() + count > self.max_waiting {
            return later(RefusalReason::QueueFull);
        }
        let limit = submission.deadline_ms.min(definition.max_deadline_ms);
        let deadline = Duration::from_millis(u64::from(limit));
        let run = self.estimate(&submission.service, definition);
        let is_busy = self.queue.waiting() > 0 && self.start_rate.per_second(now).is_some();
        if wait.saturating_add(run) > deadline {
            if is_busy && self.queue.is_over_limit(&submission.team) {
                return later(RefusalReason::OverQuota);
            }
            // A retry is pointless if not even an idle system could meet the deadline, so the
            // refusal names no retry delay.
            let slots = self.pool.slots(&submission.service).max(1);
            if run * count.div_ceil(slots) > deadline {
                return Err(Refusal::not_run(RefusalReason::DeadlineTooClose));
            }
            return later(RefusalReason::DeadlineTooClose);
        }
        Ok(())
    }
}
