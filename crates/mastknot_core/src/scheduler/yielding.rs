//! Jobs with time left yield, before they start, to jobs that find no capacity and have less time left.
//!
//! Capacity is short for a moment when many callers submit jobs at once. A job that could start later occupies its
//! capacity for as long as it runs, and many jobs that can't wait would be lost because of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::placing::Candidate;
use super::queue_losses::QueueLosses;
use super::{CompletionForecast, OrderKey};
use crate::job::{JobAnswer, JobId};
use crate::types::Moment;

/// Fraction of its slack after which a waiting job counts as contended. A job that has waited for less finds capacity
/// with the next reports.
const CONTENDED_FROM: f64 = 0.1;
/// Fraction of its start timeout for which a job yields. The rest is left for its own start.
const YIELDING_SHARE: f64 = 0.9;
/// Difference below which the loss shares of two queues count as equal.
const NEGLIGIBLE_SHARE: f64 = 0.01;
/// Maximum number of waiting jobs that are scanned at a time.
const MAX_SCANNED_JOBS: usize = 128;

/// The last job of a service that found no capacity although it has little time left.
#[derive(Clone, Debug)]
struct ContendedJob {
    at: Moment,
    queue: Arc<str>,
    priority: u32,
    slack: Duration,
}

impl ContendedJob {
    /// Returns whether the contention is over: no job was contended for as long as such a job can wait.
    fn is_over(&self, now: Moment) -> bool {
        now.since(self.at) >= self.slack
    }
}

/// Contended jobs that other jobs yield to.
#[derive(Clone, Debug, Default)]
pub(super) struct Yielding {
    /// Contended job of each service.
    contended: HashMap<Arc<str>, ContendedJob>,
    losses: QueueLosses,
    /// Time at which the first of the yielding jobs stops yielding.
    due: Option<Moment>,
}

impl Yielding {
    /// Records a contended job, unless a more urgent one or one with less slack is recorded already.
    fn record_contended(&mut self, service: &Arc<str>, contended: ContendedJob) {
        let known = self.contended.get(service);
        let known = known.filter(|known| !known.is_over(contended.at));
        let is_as_urgent = |known: &ContendedJob| {
            contended.priority <= known.priority && contended.slack <= known.slack
        };
        if known.is_none_or(is_as_urgent) {
            self.contended.insert(Arc::clone(service), contended);
        }
    }

    /// Returns the share of its jobs that a queue has lost recently, from 0 to 1.
    pub(super) fn lost_share(&self, now: Moment, queue: &str) -> f64 {
        self.losses.share(now, queue)
    }

    /// Returns the time until which a job yields; `None` if it does not yield.
    fn yields_until(&self, now: Moment, key: &OrderKey, job: &ActiveJob) -> Option<Moment> {
        let contended = self.contended.get(&job.policy.service)?;
        let may_yield =
            job.policy.priority >= contended.priority && job.policy.name != contended.queue;
        if contended.is_over(now) || !job.is_in_time() || !may_yield {
            return None;
        }
        // A queue must not lose more of its jobs than the queue that it yields to.
        let own_lost_share = self.lost_share(now, &job.policy.name);
        if own_lost_share > self.lost_share(now, &contended.queue) + NEGLIGIBLE_SHARE {
            return None;
        }
        let latest_start = key.latest_start.min(job.arrived + job.times.slack);
        let turn = job.stops_yielding_at().min(latest_start - contended.slack);
        (turn > now).then(|| turn.min(contended.at + contended.slack))
    }
}

impl ActiveJob {
    /// Returns the time from which the job no longer yields to other jobs.
    pub(super) fn stops_yielding_at(&self) -> Moment {
        let timeout = self.start_timeout_at.since(self.arrived);
        self.arrived + timeout.mul_f64(YIELDING_SHARE)
    }

    /// Returns whether the job waits for targets that are open to all kinds of tasks, and can still be in time.
    pub(super) fn is_in_time(&self) -> bool {
        let key = self.key.filter(|key| !key.is_contained);
        key.is_some_and(|key| key.completion_forecast == CompletionForecast::InTime)
    }
}

impl JobScheduler {
    /// Returns the time at which the first of the jobs that wait for others stops waiting for them.
    pub(super) fn yielding_due(&self) -> Option<Moment> {
        let due = self.yielding.due.filter(|due| *due > self.last_event_at);
        due.filter(|_| !self.waiting.is_empty())
    }

    /// Returns the first jobs that wait for nothing but capacity, among those that wait for targets open to all kinds
    /// of tasks. Records the time at which the next job stops yielding or waiting for a gang start.
    pub(super) fn jobs_in_turn(
        &mut self,
        now: Moment,
        candidates: &[Candidate],
        max: usize,
    ) -> Vec<JobId> {
        let mut first = Vec::new();
        let mut due: Option<Moment> = None;
        for (key, id) in self.waiting_uncontained() {
            let turn = self.yields_until(now, key, id).or_else(|| {
                let gang = self.waits_for_gang_until(now, *id);
                gang.filter(|_| !self.fits_gang(now, *id, candidates))
            });
            match turn {
                Some(turn) => due = Some(due.map_or(turn, |due| due.min(turn))),
                None if first.len() < max => first.push(*id),
                None => {}
            }
        }
        self.yielding.due = due;
        first
    }

    /// Returns whether any job waits for nothing but capacity: it neither yields nor waits for a gang start.
    pub(super) fn has_job_in_turn(&self, now: Moment) -> bool {
        let mut first = self.waiting.iter().take(MAX_SCANNED_JOBS);
        first.any(|(key, id)| key.is_contained || self.waits_until(now, key, id).is_none())
    }

    /// Returns the first of the jobs that wait for targets open to all kinds of tasks.
    pub(super) fn waiting_uncontained(&self) -> impl Iterator<Item = (&OrderKey, &JobId)> {
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED);
        free.take(MAX_SCANNED_JOBS)
    }

    /// Returns the time until which a job needs no capacity of its own, because it yields or waits for capacity for all
    /// its tasks at once.
    pub(super) fn waits_until(&self, now: Moment, key: &OrderKey, id: &JobId) -> Option<Moment> {
        let yields = self.yields_until(now, key, id);
        yields.or_else(|| self.waits_for_gang_until(now, *id))
    }

    /// Returns the time until which a waiting job yields; `None` if it does not yield.
    fn yields_until(&self, now: Moment, key: &OrderKey, id: &JobId) -> Option<Moment> {
        // Where capacity is granted, the sides grant it by priority and in small pieces.
        if self.uses_capacity_grants() {
            return None;
        }
        let job = self.jobs.get(id)?;
        self.yielding.yields_until(now, key, job)
    }

    /// Records that a job which does not yield found no capacity.
    pub(super) fn record_no_capacity(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| self.shows_contention(job)) else {
            return;
        };
        let slack = job.times.slack;
        if slack.is_zero() || now.since(job.arrived) < slack.mul_f64(CONTENDED_FROM) {
            return;
        }
        let service = Arc::clone(&job.policy.service);
        let contended = ContendedJob {
            at: now,
            queue: Arc::clone(&job.policy.name),
            priority: job.policy.priority,
            slack,
        };
        self.yielding.record_contended(&service, contended);
    }

    /// Returns whether the capacity that a job does not find is short for other jobs as well: the job can still be in
    /// time, and no target is closed to it alone.
    fn shows_contention(&self, job: &ActiveJob) -> bool {
        let mut waiting = job.waiting_tasks().into_iter();
        job.is_in_time()
            && waiting.any(|task| {
                let step = job.step(task);
                let takes_any = step.required_label.is_none() && step.max_per_target == 0;
                takes_any && self.individual_suspect_time(job, task).is_none()
            })
    }

    /// Records for the queue of an answered job whether the job was lost.
    pub(super) fn record_answer(
        &mut self,
        now: Moment,
        id: JobId,
        answer: JobAnswer,
        is_in_time: bool,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        // Losses of kinds that crash targets are caused by these kinds themselves.
        if matches!(answer, JobAnswer::Failed { .. }) || self.contained_kind(job).is_some() {
            return;
        }
        let is_served = answer == JobAnswer::Completed && is_in_time;
        let queue = Arc::clone(&job.policy.name);
        self.yielding.losses.record(now, &queue, !is_served);
    }
}
