//! Cancels of jobs. A cancel concerns a job and not the entry that receives it: any entry passes it on to the sides at
//! which entries claim the job, and these notify the entries that have the job or submit it later.

use std::sync::Arc;
use std::time::Duration;

use super::cancel_state::CancelledJob;
use super::claim_state::ClaimPhase;
use super::job_scheduler::JobScheduler;
use super::{CallerId, CancelRequest, SchedulerDecision, SchedulerEffect};
use crate::job::{FailureCause, JobAnswer, JobId, JobRequest};
use crate::types::{Moment, NodeName};

/// Maximum number of cancelled jobs that an entry remembers.
pub(super) const MAX_CANCELLED: usize = 4_096;
/// Maximum time that a caller is assumed to wait for an answer.
const MAX_CALLER_TIME: Duration = Duration::from_secs(60);

impl JobScheduler {
    /// Cancels a job. The caller is answered once the sides have answered at which entries claim the job.
    pub(super) fn cancel(&mut self, now: Moment, caller: CallerId, cancel: CancelRequest) {
        let id = cancel.job;
        let job = self.jobs.get(&id).filter(|job| !job.is_over);
        let age = job.map(|job| now.since(job.arrived));
        self.counters.cancels += 1;
        self.record_decision(SchedulerDecision::CancelReceived {
            job: id,
            request_id: Arc::clone(&cancel.request_id),
            is_held: age.is_some(),
            age_ms: age.map(|age| age.as_millis() as u64),
        });
        let by = self.settings.entry.clone();
        let is_pending = self.pending_cancels.contains_key(&id);
        let cancelled = self.remember_cancel(now, id, &by, cancel.job_timeout);
        cancelled.was_found |= age.is_some();
        if !is_pending {
            cancelled.forget_all_notified();
        }
        self.await_outcome(now, caller, &cancel);
        // The sides are notified before the end of the job releases it there.
        self.notify_sides(now, id);
        self.end_cancelled(now, id, &by, None);
        self.settle_cancel(now, id);
    }

    /// Remembers a cancelled job for as long as a request that submits it may come: a caller without an answer submits
    /// its job again after the time that it waits, and the new request may be in transit for as long.
    fn remember_cancel(
        &mut self,
        now: Moment,
        id: JobId,
        by: &NodeName,
        job_timeout: Duration,
    ) -> &mut CancelledJob {
        let caller_time = job_timeout.max(self.longest_caller_time);
        let claim_term = caller_time.min(MAX_CALLER_TIME) + self.settings.terms.run_over_after;
        self.cancelled
            .keep(id, now + 2 * claim_term, || CancelledJob::new(by.clone()))
    }

    /// Records the time that a caller waits for an answer.
    pub(super) fn record_caller_time(&mut self, time: Duration) {
        self.longest_caller_time = self.longest_caller_time.max(time.min(MAX_CALLER_TIME));
    }

    /// Answers a request that submits a cancelled job; returns false if the job is not cancelled.
    pub(super) fn refuse_cancelled(
        &mut self,
        now: Moment,
        caller: CallerId,
        request: &JobRequest,
    ) -> bool {
        let Some(cancelled) = self.cancelled.get(&request.id) else {
            return false;
        };
        let by = cancelled.by.clone();
        self.remember_cancel(now, request.id, &by, Duration::ZERO);
        self.counters.jobs_cancelled += 1;
        self.record_decision(SchedulerDecision::JobCancelled {
            job: request.id,
            request_id: Arc::clone(&request.request_id),
            by,
            side: None,
            runs: 0,
            age_ms: 0,
        });
        let answer = cancelled_answer();
        self.effects
            .push(SchedulerEffect::Answer { caller, answer });
        true
    }

    /// Ends a cancelled job that is held here.
    fn end_cancelled(&mut self, now: Moment, id: JobId, by: &NodeName, side: Option<&NodeName>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_over) else {
            return;
        };
        let cancelled = SchedulerDecision::JobCancelled {
            job: id,
            request_id: Arc::clone(&job.request.request_id),
            by: by.clone(),
            side: side.cloned(),
            runs: job.ordered_tasks(),
            age_ms: now.since(job.arrived).as_millis() as u64,
        };
        self.counters.jobs_cancelled += 1;
        self.record_decision(cancelled);
        self.answer(now, id, cancelled_answer());
    }

    /// Handles the notification of a side that a job is cancelled.
    pub(super) fn handle_cancelled(
        &mut self,
        now: Moment,
        side: &NodeName,
        id: JobId,
        by: &NodeName,
    ) {
        self.record_claim_answer(side, id, ClaimPhase::Cancelled);
        let deadline = self.jobs.get(&id).map(|job| job.deadline);
        let time_left = deadline.map_or(Duration::ZERO, |deadline| deadline.since(now));
        let is_pending = self.pending_cancels.contains_key(&id);
        let cancelled = self.remember_cancel(now, id, by, time_left);
        cancelled.was_found = true;
        if !is_pending {
            cancelled.record_notified(side);
        }
        self.end_cancelled(now, id, by, Some(side));
        self.schedule_claim(id);
    }

    /// Returns the number of cancelled jobs that are remembered.
    pub fn cancelled_jobs_held(&self) -> usize {
        self.cancelled.len()
    }

    /// Returns the number of cancelled jobs that were forgotten too early, because too many were cancelled.
    pub fn cancelled_jobs_dropped(&self) -> u64 {
        self.cancelled.dropped()
    }
}

fn cancelled_answer() -> JobAnswer {
    let cause = FailureCause::Cancelled;
    JobAnswer::Failed { cause }
}
