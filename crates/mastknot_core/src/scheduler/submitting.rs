//! Submission of jobs, and their ends without completion.

use std::sync::Arc;
use std::time::Duration;

use super::active_job::{ActiveJob, ActiveTask};
use super::claim_state::ClaimState;
use super::job_forecast::JobForecast;
use super::job_scheduler::JobScheduler;
use super::order_key::JobTimes;
use super::{CallerId, SchedulerDecision, SchedulerEffect};
use crate::job::{AttemptNumbers, JobAnswer, JobId, JobRequest, QueuePolicy, TaskKind};
use crate::types::{Moment, WallTime};

impl JobScheduler {
    pub(super) fn submit(
        &mut self,
        now: Moment,
        caller: CallerId,
        request: JobRequest,
        policy: Arc<QueuePolicy>,
        time_left: Duration,
        wall: WallTime,
    ) {
        let id = request.id;
        self.record_caller_time(time_left);
        if self.refuse_cancelled(now, caller, &request) {
            return;
        }
        if policy.is_ranked {
            self.activate_priors();
            self.record_ranked_job(now);
        }
        self.callers.insert(caller, id);
        let deadline = now + time_left.saturating_sub(self.settings.answer_margin);
        if self.jobs.contains_key(&id) {
            self.rejoin(now, caller, id, deadline, &request);
            return;
        }
        self.counters.jobs_taken += 1;
        if policy.is_ranked {
            self.record_ranked_queue(now, &policy);
        }
        self.next_sequence += 1;
        let steps = request.steps.iter();
        let expected = steps
            .map(|step| self.run_times.predict(&policy.name, step.estimate))
            .collect();
        let kinds = request.steps.iter();
        let kinds = kinds
            .map(|step| TaskKind::new(&policy.name, step.image.as_deref()))
            .collect();
        let mut job = ActiveJob {
            kinds,
            expected,
            start_timeout_at: now,
            tasks: ActiveJob::initial_tasks(&request),
            request,
            policy,
            callers: vec![caller],
            sequence: self.next_sequence,
            arrived: now,
            deadline,
            times: JobTimes {
                objective: now,
                late: now,
                slack: Duration::ZERO,
            },
            attempts: AttemptNumbers::starting_at(wall),
            first_start: None,
            starts: 0,
            starts_not_run: 0,
            is_over: false,
            claim: match self.settings.claims_jobs {
                true => ClaimState::default(),
                false => ClaimState::granted(),
            },
            key: None,
            forecast: JobForecast::default(),
        };
        job.unblock();
        self.set_times(now, &mut job);
        self.record_arrival(now, &mut job);
        let objective = job.times.objective.since(now);
        job.start_timeout_at = now
            + objective
                .min(time_left)
                .mul_f64(self.settings.start_timeout_share);
        let taken = SchedulerDecision::Taken {
            job: id,
            request_id: Arc::clone(&job.request.request_id),
            queue: Arc::clone(&job.policy.name),
            kind: job.kinds.first().copied().unwrap_or_default(),
            config_version: job.policy.version,
            tasks: job.tasks.len(),
            objective_ms: objective.as_millis() as u64,
            waiting_jobs: self.waiting.len(),
        };
        self.deadlines.insert((deadline, id));
        self.start_timeouts.insert((job.start_timeout_at, id));
        self.jobs.insert(id, job);
        self.record_decision(taken);
        self.claim_job(now, id);
        self.queue_job(now, id);
        self.give_up_known_crashers(now, id);
        if self.are_all_halls_drained() || self.has_no_usable_reserved_side(id) {
            self.refuse_if_not_started(now, id);
        }
    }

    fn set_times(&self, now: Moment, job: &mut ActiveJob) {
        let chain = job.remaining_chain();
        let objective = job.latency_objective(chain);
        job.times = JobTimes {
            objective: now + objective,
            late: now + objective * self.settings.late_factor,
            slack: objective.min(job.deadline.since(now)).saturating_sub(chain),
        };
    }

    /// Joins a repeated submission with the job that is already held.
    fn rejoin(
        &mut self,
        now: Moment,
        caller: CallerId,
        id: JobId,
        deadline: Moment,
        request: &JobRequest,
    ) {
        self.counters.jobs_rejoined += 1;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.deadlines.remove(&(job.deadline, id));
        job.deadline = deadline;
        job.callers.push(caller);
        job.request.request_id = Arc::clone(&request.request_id);
        if job.is_over {
            job.is_over = false;
            job.arrived = now;
            job.first_start = None;
            job.tasks.iter_mut().for_each(ActiveTask::reset_failures);
        }
        self.deadlines.insert((deadline, id));
        self.record_decision(SchedulerDecision::Rejoined {
            job: id,
            request_id: Arc::clone(&request.request_id),
        });
        self.extend_claim(now, id);
        self.queue_job(now, id);
        self.finish_if_done(now, id);
        self.give_up_known_crashers(now, id);
    }

    /// Updates the position of a job among the waiting jobs, or removes the job from them.
    pub(super) fn queue_job(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let is_contained = self.contained_kind(job).is_some();
        let goes_first = self.goes_before_begun(&job.policy);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(key) = job.key.take() {
            self.waiting.remove(&key);
        }
        if job.has_waiting() {
            let key = job.order_key(now, is_contained, goes_first);
            job.key = Some(key);
            self.waiting.insert(key, id);
        }
    }

    /// Answers jobs whose callers stop waiting.
    pub(super) fn expire_jobs(&mut self, now: Moment) {
        while let Some((at, id)) = self.deadlines.first().copied() {
            if at > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let answer = match job.may_have_run() {
                true => JobAnswer::TimedOut,
                false => JobAnswer::Refused {
                    retry_after: self.retry_after(now, id),
                },
            };
            self.answer(now, id, answer);
        }
    }

    /// Refuses jobs that have found no capacity for a considerable part of their objective. Most of them would be held
    /// without ever starting, and their callers could retry instead. Jobs that the forecast decides on are left to it,
    /// as it is more accurate.
    pub(super) fn expire_start_timeouts(&mut self, now: Moment) {
        while let Some((at, id)) = self.start_timeouts.first().copied() {
            if at > now {
                return;
            }
            self.start_timeouts.pop_first();
            let is_due = |job: &ActiveJob| job.start_timeout_at == at;
            let is_due = self.jobs.get(&id).is_some_and(is_due);
            if is_due && !self.is_decided_by_forecast(now, id) {
                self.refuse_if_not_started(now, id);
            }
        }
    }

    pub(super) fn abandon(&mut self, now: Moment, caller: CallerId) {
        let Some(id) = self.callers.remove(&caller) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.callers.retain(|other| *other != caller);
        if !job.callers.is_empty() || job.is_over {
            return;
        }
        let runs = job.ordered_tasks();
        let after_ms = now.since(job.arrived).as_millis() as u64;
        let has_begun = job.may_have_begun();
        self.counters.jobs_abandoned += 1;
        self.record_decision(SchedulerDecision::Abandoned {
            job: id,
            caller,
            runs,
            after_ms,
            has_begun,
        });
        self.end_job(now, id);
    }

    /// Answers all callers of a job and ends it.
    pub(super) fn answer(&mut self, now: Moment, id: JobId, answer: JobAnswer) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_over {
            return;
        }
        let objective = job.observed_objective().unwrap_or(job.times.objective);
        let in_time = now <= objective;
        let first_start = job.first_start.map(|at| at.since(job.arrived));
        let answered = SchedulerDecision::Answered {
            job: id,
            request_id: Arc::clone(&job.request.request_id),
            answer,
            after_ms: now.since(job.arrived).as_millis() as u64,
            first_start_ms: first_start.map(|time| time.as_millis() as u64),
            starts: job.starts,
            in_time,
        };
        for caller in std::mem::take(&mut job.callers) {
            self.callers.remove(&caller);
            self.effects
                .push(SchedulerEffect::Answer { caller, answer });
        }
        match answer {
            JobAnswer::Completed => self.counters.jobs_completed += 1,
            JobAnswer::Failed { .. } => self.counters.jobs_failed += 1,
            JobAnswer::Refused { .. } => self.counters.jobs_refused += 1,
            JobAnswer::TimedOut => self.counters.jobs_timed_out += 1,
        }
        self.record_decision(answered);
        self.record_answer(now, id, answer, in_time);
        self.end_job(now, id);
    }
}
