//! Jobs with time left begin with all their tasks, or wait.
//!
//! A job that begins with a few of them is finished before others that have less time.

use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::placing::{Candidate, may_run};
use super::side_view::SideView;
use crate::job::{Capacity, JobId};
use crate::types::Moment;

/// A job that can wait for less begins with what there is: room for all at once may not come in its time.
const TIME_TO_SPARE: Duration = Duration::from_millis(400);
/// A queue that has lost more than this share of its jobs of late waits no more.
const MOST_LOST: f64 = 0.5;

impl JobScheduler {
    /// Until when a job waits for room for all its tasks; none if it begins with what there is.
    ///
    /// Where room is granted it comes in small pieces, and the queues' priorities decide.
    pub(super) fn waits_for_gang_until(&self, now: Moment, id: JobId) -> Option<Moment> {
        let job = self.jobs.get(&id)?;
        let turn = job.stops_yielding_at();
        let may_wait = !self.uses_capacity_grants()
            && job.is_in_time()
            && !job.may_have_begun()
            && job.times.slack > TIME_TO_SPARE
            && now < turn
            && self.yielding.lost_share(now, &job.policy.name) <= MOST_LOST;
        (may_wait && self.is_plain(job) && self.could_hold(now, job)).then_some(turn)
    }

    /// Whether all tasks of a job find room now.
    pub(super) fn fits_gang(&self, now: Moment, id: JobId, candidates: &[Candidate]) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let sides = candidates.iter().map(|candidate| {
            let side = &self.sides[candidate.side_index];
            (side, side.free(), candidate.is_slow)
        });
        self.holds_all(now, job, sides)
    }

    /// Whether the targets that take work could hold all tasks of a job if they were idle.
    fn could_hold(&self, now: Moment, job: &ActiveJob) -> bool {
        let sides = self.sides.values().filter(|side| side.takes_work());
        let sides = sides.map(|side| {
            let target = side.target.as_ref();
            let whole = target.map(|target| target.capacity).unwrap_or_default();
            (side, whole, false)
        });
        self.holds_all(now, job, sides)
    }

    /// Whether these sides, each with its room and whether it is only tried, hold all waiting tasks of a job.
    fn holds_all<'a>(
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
        let most = match step.max_per_target {
            0 => usize::MAX,
            most => usize::from(most),
        };
        for (side, room, is_tried) in sides {
            if left == 0 {
                break;
            }
            let is_open =
                may_run(job, task, side) && self.is_allowed_by_isolation(now, job, task, side);
            let most = if is_tried { 1 } else { most };
            let places = (room.count_of(&step.required_capacity) as usize).min(most);
            left = left.saturating_sub(if is_open { places } else { 0 });
        }
        left == 0
    }

    /// Whether a job's waiting tasks are alike, and none of them is a suspect that is tried by itself.
    fn is_plain(&self, job: &ActiveJob) -> bool {
        let waiting = job.waiting_tasks();
        let step = |task: &usize| job.tasks[*task].name.step;
        let first = waiting.first().map(step);
        waiting.iter().all(|task| {
            Some(step(task)) == first && self.individual_suspect_time(job, *task).is_none()
        })
    }
}
