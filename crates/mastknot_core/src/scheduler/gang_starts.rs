//! Gang starts: jobs with enough time left start with all their tasks at once, or wait.
//!
//! A job that starts with only some of its tasks is finished before jobs that have less time.

use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::placing::{Candidate, may_run};
use super::side_view::SideView;
use crate::job::{Capacity, JobId};
use crate::types::Moment;

/// Minimum slack of a job that waits for a gang start. With less slack, capacity for all tasks may not become free in
/// time, so the job starts with what is available.
const MIN_SLACK: Duration = Duration::from_millis(400);
/// Share of recently lost jobs above which jobs of a queue do not wait for a gang start.
const MAX_LOST_SHARE: f64 = 0.5;

impl JobScheduler {
    /// Returns until when a job waits for capacity for all its tasks, or `None` if it starts with what is available.
    ///
    /// Jobs do not wait if sides grant capacity: grants come in small pieces, and the priorities of the queues decide.
    pub(super) fn waits_for_gang_until(&self, now: Moment, id: JobId) -> Option<Moment> {
        let job = self.jobs.get(&id)?;
        let wait_end = job.stops_yielding_at();
        let may_wait = !self.uses_capacity_grants()
            && job.is_in_time()
            && !job.may_have_begun()
            && job.times.slack > MIN_SLACK
            && now < wait_end
            && self.yielding.lost_share(now, &job.policy.name) <= MAX_LOST_SHARE;
        (may_wait && self.has_uniform_tasks(job) && self.could_fit(now, job)).then_some(wait_end)
    }

    /// Returns whether there is free capacity for all tasks of a job now.
    pub(super) fn fits_gang(&self, now: Moment, id: JobId, candidates: &[Candidate]) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let sides = candidates.iter().map(|candidate| {
            let side = &self.sides[candidate.side_index];
            (side, side.free(), candidate.is_slow)
        });
        self.fits_all_tasks(now, job, sides)
    }

    /// Returns whether the targets that accept work could run all tasks of a job at once if they were idle.
    fn could_fit(&self, now: Moment, job: &ActiveJob) -> bool {
        let sides = self.sides.values().filter(|side| side.takes_work());
        let sides = sides.map(|side| {
            let target = side.target.as_ref();
            let total = target.map(|target| target.capacity).unwrap_or_default();
            (side, total, false)
        });
        self.fits_all_tasks(now, job, sides)
    }

    /// Returns whether these sides have capacity for all waiting tasks of a job. Each side comes with its capacity and
    /// whether it gets a single task as a try.
    fn fits_all_tasks<'a>(
        &self,
        now: Moment,
        job: &ActiveJob,
        sides: impl Iterator<Item = (&'a SideView, Capacity, bool)>,
    ) -> bool {
        let mut left = job.waiting_tasks().len();
        let Some(task) = job.waiting_tasks().first().copied() else {
            return true;
        };
        let step = job.step(task);
        let max_per_target = match step.max_per_target {
            0 => usize::MAX,
            most => usize::from(most),
        };
        for (side, capacity, is_tried) in sides {
            if left == 0 {
                break;
            }
            let is_open =
                may_run(job, task, side) && self.is_allowed_by_isolation(now, job, task, side);
            let max_per_target = if is_tried { 1 } else { max_per_target };
            let slots = (capacity.count_of(&step.required_capacity) as usize).min(max_per_target);
            left = left.saturating_sub(if is_open { slots } else { 0 });
        }
        left == 0
    }

    /// Returns whether the waiting tasks of a job all belong to one step and none of them is a suspect that is isolated
    /// by itself.
    fn has_uniform_tasks(&self, job: &ActiveJob) -> bool {
        let waiting = job.waiting_tasks();
        let step = |task: &usize| job.tasks[*task].name.step;
        let first = waiting.first().map(step);
        waiting.iter().all(|task| {
            Some(step(task)) == first && self.individual_suspect_time(job, *task).is_none()
        })
    }
}
