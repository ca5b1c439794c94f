//! Reviews of waiting jobs. Jobs that the forecast denies are refused, with a time after which to retry.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::active_job::ActiveJob;
use super::admission::{Admission, AdmissionInput, REVIEW_INTERVAL};
use super::forecast::{Forecast, ForecastInput};
use super::job_forecast::ForecastWait;
use super::job_scheduler::JobScheduler;
use super::observed_load::serves;
use super::{LoadView, OrderKey, SchedulerDecision};
use crate::job::{JobAnswer, JobId};
use crate::types::Moment;

/// Minimum share of the entry's capacity that is left to returning callers, however much work usually arrives.
const MIN_SPARE_SHARE: f64 = 0.1;

impl JobScheduler {
    /// Refuses waiting jobs that the forecast denies. A new job is reviewed at once.
    pub(super) fn review_waiting(&mut self, now: Moment) {
        let is_due = self.review_due().is_some_and(|due| now >= due);
        if !is_due {
            if self.waiting.is_empty() {
                self.demand.obtained.set_expected_rate(now, None);
                self.demand.has_new_job = false;
            }
            return;
        }
        self.demand.reviewed_at = now;
        let own_work = self.own_waiting_work();
        self.demand.waiting.record(now, &own_work);
        self.demand.has_new_job = false;
        let services = self.waiting_services().into_iter();
        let views = services.map(|service| {
            let view = self.load_view_where(now, serves(&service));
            (service, view)
        });
        let views: Vec<(Arc<str>, LoadView)> = views.collect();
        let rate = views.iter().map(|(_, view)| view.rate(u8::MAX)).sum();
        self.demand.obtained.set_expected_rate(now, Some(rate));
        for (service, view) in &views {
            self.review_service(now, service, view);
        }
    }

    /// Returns the time at which waiting jobs have to be reviewed.
    pub(super) fn review_due(&self) -> Option<Moment> {
        let is_on = self.settings.scarcity.forecast && !self.waiting.is_empty();
        let due = match self.demand.has_new_job {
            true => self.last_event_at,
            false => self.demand.reviewed_at + REVIEW_INTERVAL,
        };
        (is_on && self.has_ranked_waiting()).then_some(due)
    }

    /// Returns whether the forecast decides on a job, in place of the start timeout.
    pub(super) fn is_decided_by_forecast(&self, now: Moment, id: JobId) -> bool {
        let is_on = |job: &ActiveJob| self.uses_forecast(job);
        let job = self.jobs.get(&id).filter(|job| is_on(job));
        job.is_some_and(|job| {
            self.load_view_where(now, serves(&job.policy.service))
                .is_known()
        })
    }

    /// Records a new job as arriving work. The job goes before newer ones if its caller has returned at its retry
    /// time.
    pub(super) fn record_arrival(&mut self, now: Moment, job: &mut ActiveJob) {
        if !job.policy.is_ranked || !self.settings.scarcity.forecast {
            return;
        }
        let work = job.total_work();
        let priority = job.policy.priority;
        self.demand.recent_arrivals.record(now, priority, work);
        self.demand.has_new_job = true;
        job.forecast.has_returned_on_time = self.demand.retries.is_on_time(now, job.request.id);
        match job.forecast.has_returned_on_time {
            true => self.counters.jobs_returned += 1,
            false => self.demand.usual_arrivals.record(now, priority, work),
        }
    }

    /// Returns the time after which the caller of a refused job should retry.
    pub(super) fn retry_after(&mut self, now: Moment, id: JobId) -> Duration {
        let Some(job) = self.jobs.get(&id).filter(|job| self.uses_forecast(job)) else {
            return self.settings.retry_after;
        };
        let work = job.total_work();
        let view = self.load_view_where(now, serves(&job.policy.service));
        if !view.is_known() {
            return self.settings.retry_after;
        }
        let rate = view.rate(u8::MAX) * self.demand.obtained.ratio();
        let spare = rate - self.demand.usual_arrivals.total_rate(now);
        let spare = spare.max(rate * MIN_SPARE_SHARE);
        let wait = job.forecast.refused_wait;
        self.demand.retries.schedule(now, id, wait, work, spare)
    }

    /// Compares the forecast wait of a job with its actual wait, once all of its waiting tasks are placed.
    pub(super) fn record_fully_placed(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(expected) = job.forecast.first_forecast.take() else {
            return;
        };
        let actual = now.since(expected.at);
        let queue = Arc::clone(&job.policy.name);
        self.demand.errors.record(&queue, expected.wait, actual);
        self.record_decision(SchedulerDecision::ForecastSeen {
            job: id,
            queue,
            forecast_ms: expected.wait.as_millis() as u64,
            actual_ms: actual.as_millis() as u64,
        });
    }

    fn uses_forecast(&self, job: &ActiveJob) -> bool {
        let is_contained = self.contained_kind(job).is_some();
        self.settings.scarcity.forecast && job.policy.is_ranked && !is_contained
    }

    fn has_ranked_waiting(&self) -> bool {
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED);
        let mut jobs = free.filter_map(|(_, id)| self.jobs.get(id));
        jobs.any(|job| job.policy.is_ranked)
    }

    fn waiting_services(&self) -> BTreeSet<Arc<str>> {
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED);
        let jobs = free.filter_map(|(_, id)| self.jobs.get(id));
        let ranked = jobs.filter(|job| job.policy.is_ranked);
        ranked.map(|job| Arc::clone(&job.policy.service)).collect()
    }

    /// Reviews the waiting jobs of a service in their order. Refused jobs no longer count as ahead of the others.
    fn review_service(&mut self, now: Moment, service: &Arc<str>, view: &LoadView) {
        if !view.is_known() {
            return;
        }
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED);
        let waiting: Vec<(OrderKey, JobId)> = free.map(|(key, id)| (*key, *id)).collect();
        let mut ahead = 0;
        for (key, id) in waiting {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.policy.service != *service {
                continue;
            }
            let cpu_millis = job.waiting_cpu_millis();
            if !self.refuse_if_denied(now, view, &key, id, ahead) {
                ahead += cpu_millis;
            }
        }
    }

    /// Reviews one waiting job. Returns whether it was refused.
    fn refuse_if_denied(
        &mut self,
        now: Moment,
        view: &LoadView,
        key: &OrderKey,
        id: JobId,
        ahead: u64,
    ) -> bool {
        let job = self.jobs.get(&id);
        let Some(job) = job.filter(|job| !job.may_have_run() && self.uses_forecast(job)) else {
            return false;
        };
        let forecast = self.forecast_of(now, view, key, job, ahead);
        let mut input = self.admission_input(now, job, forecast);
        // The search for capacity is expensive, so it is made only for a job that is denied otherwise.
        if Admission::of(&input) != Admission::Wait {
            input.has_capacity = self.has_capacity_for(now, job);
        }
        let admission = Admission::of(&input);
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.forecast
            .record_review(now, admission == Admission::DeniedOnce);
        if input.is_new {
            job.forecast.is_reviewed = true;
            job.forecast.first_forecast = forecast.wait.map(|wait| ForecastWait { at: now, wait });
        }
        if admission == Admission::Refuse {
            job.forecast.refused_wait = forecast.wait;
            self.refuse_denied(now, id, &input, ahead, view);
        }
        admission == Admission::Refuse
    }

    fn refuse_denied(
        &mut self,
        now: Moment,
        id: JobId,
        input: &AdmissionInput,
        ahead: u64,
        view: &LoadView,
    ) {
        match input.is_new {
            true => self.counters.jobs_refused_at_arrival += 1,
            false => self.counters.jobs_refused_while_waiting += 1,
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let request_id = Arc::clone(&job.request.request_id);
        let queue = Arc::clone(&job.policy.name);
        let retry_after = self.retry_after(now, id);
        let free = view.sides.iter().map(|side| side.free.cpu_millis);
        self.record_decision(SchedulerDecision::Denied {
            job: id,
            request_id,
            queue,
            is_new: input.is_new,
            wait_ms: input.forecast.wait.map(|wait| wait.as_millis() as u64),
            rate_cpu_millis: input.forecast.rate as i64,
            chain_ms: input.chain.as_millis() as u64,
            left_ms: input.left.as_millis() as u64,
            error_ms: input.error.as_millis() as u64,
            ahead_cpu_millis: ahead,
            free_cpu_millis: free.max().unwrap_or_default(),
            view_age_ms: view.max_report_age().as_millis() as u64,
            retry_after_ms: retry_after.as_millis() as u64,
        });
        self.answer(now, id, JobAnswer::Refused { retry_after });
    }

    fn forecast_of(
        &self,
        now: Moment,
        view: &LoadView,
        key: &OrderKey,
        job: &ActiveJob,
        ahead: u64,
    ) -> Forecast {
        let placed = self.demand.placed_mean.mean_run_time();
        let input = ForecastInput {
            rank: key.rank(),
            ahead,
            required_capacity: job.waiting_cpu_millis(),
            held_for: placed.unwrap_or(job.remaining_chain()),
            smallest: job.smallest_waiting(),
            arriving_rate: self
                .demand
                .recent_arrivals
                .rate_before(now, job.policy.priority),
            obtained_ratio: self.demand.obtained.ratio(),
        };
        Forecast::of(view, &input)
    }

    fn admission_input(&self, now: Moment, job: &ActiveJob, forecast: Forecast) -> AdmissionInput {
        AdmissionInput {
            forecast,
            chain: job.remaining_chain(),
            left: job.times.objective.min(job.deadline).since(now),
            error: self.demand.errors.mean(&job.policy.name),
            has_capacity: false,
            is_new: !job.forecast.is_reviewed,
            was_denied_before: job.forecast.was_denied_before(now),
        }
    }
}
