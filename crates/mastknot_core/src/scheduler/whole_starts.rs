//! Jobs with time left begin with all their tasks, or wait.
//!
//! A job that begins with a few of them is finished before others that have less time.

use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::placing::{Candidate, is_suitable};
use super::{OrderKey, Outlook};
use crate::job::JobId;
use crate::types::Moment;

/// A job that can wait for less begins with what there is: room for all at once may not come in its time.
const TIME_TO_SPARE: Duration = Duration::from_millis(400);
/// A queue that has lost more than this share of its jobs of late waits no more: none is starved by it.
const MOST_LOST: f64 = 0.5;

impl JobScheduler {
    /// Whether a job waits until all its tasks find room.
    ///
    /// Where room is granted it comes in small pieces, and the queues' priorities decide.
    pub(super) fn waits_to_begin_whole(
        &self,
        now: Moment,
        id: JobId,
        candidates: &[Candidate],
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let may_wait = !self.is_granted_room()
            && job.key.is_some_and(|key| has_time(&key))
            && !job.may_have_begun()
            && job.times.slack > TIME_TO_SPARE
            && now < job.own_turn()
            && self.giving_way.lost_share(&job.policy.name) <= MOST_LOST;
        may_wait && !self.fits_whole(now, job, candidates)
    }

    fn fits_whole(&self, now: Moment, job: &ActiveJob, candidates: &[Candidate]) -> bool {
        let waiting = job.waiting();
        let Some(first) = waiting.first().copied() else {
            return true;
        };
        let room = job.step(first).room;
        let sides = candidates
            .iter()
            .map(|candidate| &self.sides[candidate.place]);
        let suitable = sides
            .filter(|side| is_suitable(job, first, side) && self.is_in_part(now, job, first, side));
        let places = suitable.map(|side| side.free().count_of(&room) as usize);
        places.sum::<usize>() >= waiting.len()
    }
}

fn has_time(key: &OrderKey) -> bool {
    key.outlook == Outlook::InTime && !key.is_contained
}
