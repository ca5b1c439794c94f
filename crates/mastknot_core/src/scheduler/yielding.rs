//! Jobs with time left give way, before they start, to those that find no room and have less of it.
//!
//! Room is short for a moment when many callers come at once. A job that could start later holds the room that it takes
//! for as long as it runs, and many that could not wait are lost to it.

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

/// A job that has waited for this part of its slack is pressed: what waits for less finds room with the next reports.
const CONTENDED_FROM: f64 = 0.1;
/// A job gives way for this part of its patience: the rest is for its own turn.
const YIELDING_SHARE: f64 = 0.9;
/// Queues whose lost shares differ by less have lost alike.
const NEGLIGIBLE_SHARE: f64 = 0.01;
/// How many waiting jobs are looked at in one go.
const MAX_SCANNED_JOBS: usize = 128;

/// The last job of a service that found no room although it has little time.
#[derive(Clone, Debug)]
struct ContendedJob {
    at: Moment,
    queue: Arc<str>,
    priority: u32,
    slack: Duration,
}

impl ContendedJob {
    /// Room counts as short until nobody was pressed for as long as such a job can wait.
    fn is_over(&self, now: Moment) -> bool {
        now.since(self.at) >= self.slack
    }
}

/// For whom jobs give way.
#[derive(Clone, Debug, Default)]
pub(super) struct Yielding {
    /// By service.
    contended: HashMap<Arc<str>, ContendedJob>,
    losses: QueueLosses,
    /// When the first of the jobs that give way has its turn.
    due: Option<Moment>,
}

impl Yielding {
    /// Notes a pressed job, unless a more urgent one or one with less time is pressed already.
    fn record_contended(&mut self, service: &Arc<str>, pressed: ContendedJob) {
        let known = self.contended.get(service);
        let known = known.filter(|known| !known.is_over(pressed.at));
        let goes_before = |known: &ContendedJob| {
            pressed.priority <= known.priority && pressed.slack <= known.slack
        };
        if known.is_none_or(goes_before) {
            self.contended.insert(Arc::clone(service), pressed);
        }
    }

    /// The share of its jobs that a queue has lost of late, from 0 to 1.
    pub(super) fn lost_share(&self, now: Moment, queue: &str) -> f64 {
        self.losses.share(now, queue)
    }

    /// Until when a job gives way; none if it has its turn.
    fn yields_until(&self, now: Moment, key: &OrderKey, job: &ActiveJob) -> Option<Moment> {
        let pressed = self.contended.get(&job.policy.service)?;
        let is_beside = job.policy.priority >= pressed.priority && job.policy.name != pressed.queue;
        if pressed.is_over(now) || !job.is_in_time() || !is_beside {
            return None;
        }
        // No queue loses more of its jobs than the one that it gives way to.
        let own = self.lost_share(now, &job.policy.name);
        if own > self.lost_share(now, &pressed.queue) + NEGLIGIBLE_SHARE {
            return None;
        }
        let latest_start = key.latest_start.min(job.arrived + job.times.slack);
        let turn = job.stops_yielding_at().min(latest_start - pressed.slack);
        (turn > now).then(|| turn.min(pressed.at + pressed.slack))
    }
}

impl ActiveJob {
    /// From then on it waits for nobody.
    pub(super) fn stops_yielding_at(&self) -> Moment {
        let patience = self.start_timeout_at.since(self.arrived);
        self.arrived + patience.mul_f64(YIELDING_SHARE)
    }

    /// Whether it waits for targets that are open to all and can still be in time.
    pub(super) fn is_in_time(&self) -> bool {
        let key = self.key.filter(|key| !key.is_contained);
        key.is_some_and(|key| key.completion_forecast == CompletionForecast::InTime)
    }
}

impl JobScheduler {
    /// When the first of the jobs that wait for others has its turn.
    pub(super) fn yielding_due(&self) -> Option<Moment> {
        let due = self.yielding.due.filter(|due| *due > self.last_event_at);
        due.filter(|_| !self.waiting.is_empty())
    }

    /// The first jobs that have their turn, of those that wait for targets that are open to all; notes when the next
    /// one has its turn.
    pub(super) fn jobs_in_turn(
        &mut self,
        now: Moment,
        candidates: &[Candidate],
        most: usize,
    ) -> Vec<JobId> {
        let mut first = Vec::new();
        let mut due: Option<Moment> = None;
        for (key, id) in self.waiting_uncontained() {
            let turn = self.yields_until(now, key, id).or_else(|| {
                let whole = self.waits_for_gang_until(now, *id);
                whole.filter(|_| !self.fits_gang(now, *id, candidates))
            });
            match turn {
                Some(turn) => due = Some(due.map_or(turn, |due| due.min(turn))),
                None if first.len() < most => first.push(*id),
                None => {}
            }
        }
        self.yielding.due = due;
        first
    }

    /// Whether a job waits for room and for nobody else.
    pub(super) fn has_job_in_turn(&self, now: Moment) -> bool {
        let mut first = self.waiting.iter().take(MAX_SCANNED_JOBS);
        first.any(|(key, id)| key.is_contained || self.waits_until(now, key, id).is_none())
    }

    /// Jobs that wait for targets that are open to all, the first ones.
    pub(super) fn waiting_uncontained(&self) -> impl Iterator<Item = (&OrderKey, &JobId)> {
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED);
        free.take(MAX_SCANNED_JOBS)
    }

    /// Until when a job needs no room of its own: it gives way, or waits for room for all its tasks.
    pub(super) fn waits_until(&self, now: Moment, key: &OrderKey, id: &JobId) -> Option<Moment> {
        let gives_way = self.yields_until(now, key, id);
        gives_way.or_else(|| self.waits_for_gang_until(now, *id))
    }

    /// Until when a waiting job gives way; none if it has its turn.
    fn yields_until(&self, now: Moment, key: &OrderKey, id: &JobId) -> Option<Moment> {
        // Where room is granted the sides give it by priority and in small pieces.
        if self.uses_capacity_grants() {
            return None;
        }
        let job = self.jobs.get(id)?;
        self.yielding.yields_until(now, key, job)
    }

    /// A job in its turn found no room.
    pub(super) fn record_no_capacity(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| self.shows_contention(job)) else {
            return;
        };
        let slack = job.times.slack;
        if slack.is_zero() || now.since(job.arrived) < slack.mul_f64(CONTENDED_FROM) {
            return;
        }
        let service = Arc::clone(&job.policy.service);
        let pressed = ContendedJob {
            at: now,
            queue: Arc::clone(&job.policy.name),
            priority: job.policy.priority,
            slack,
        };
        self.yielding.record_contended(&service, pressed);
    }

    /// Whether room is short for others as well where this job finds none: it can still be in time, and no target is
    /// closed to it alone.
    fn shows_contention(&self, job: &ActiveJob) -> bool {
        let mut waiting = job.waiting_tasks().into_iter();
        job.is_in_time()
            && waiting.any(|task| {
                let step = job.step(task);
                let takes_any = step.required_label.is_none() && step.max_per_target == 0;
                takes_any && self.individual_suspect_time(job, task).is_none()
            })
    }

    /// A job is answered: its queue has lost it or not.
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
        // What kinds that crash targets lose, they lose to themselves.
        if matches!(answer, JobAnswer::Failed { .. }) || self.contained_kind(job).is_some() {
            return;
        }
        let is_served = answer == JobAnswer::Completed && is_in_time;
        let queue = Arc::clone(&job.policy.name);
        self.yielding.losses.record(now, &queue, !is_served);
    }
}
