//! Halls that operators have drained: no task is placed there, and all sides are notified.

use std::sync::Arc;

use super::SchedulerDecision;
use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use crate::job::{DrainedHalls, JobAnswer, JobId};
use crate::types::Moment;

impl JobScheduler {
    /// Applies the set of drained halls from the operators' store or from a side; an older set is ignored.
    ///
    /// Each linked side is notified at once, including those on standby, because it rejects starts itself, even those
    /// of entries that are disconnected from the store. Waiting jobs are considered again in the same step.
    pub(super) fn update_drained_halls(&mut self, now: Moment, drained: &Arc<DrainedHalls>) {
        if !drained.is_newer_than(&self.drained_halls) {
            return;
        }
        self.drained_halls = Arc::clone(drained);
        for side in self.sides.values_mut() {
            side.is_hall_drained = drained.contains(&side.hall);
            side.needs_heartbeat = side.session.is_some();
        }
        self.sides_due = Some(now);
        let runs = self.runs_in_drained_halls();
        self.record_decision(SchedulerDecision::HallsDrained {
            drained: Arc::clone(drained),
            runs,
        });
        self.fill_active_links(now);
        self.refuse_without_halls(now);
    }

    /// Returns the drained halls that are known to this entry.
    pub fn drained_halls(&self) -> &DrainedHalls {
        &self.drained_halls
    }

    /// Returns the number of this entry's runs that continue in drained halls.
    pub fn runs_in_drained_halls(&self) -> usize {
        let in_drained_halls = self.sides.values().filter(|side| side.is_hall_drained);
        in_drained_halls.map(|side| side.runs.len()).sum()
    }

    /// Returns whether every linked side is in a drained hall. Nothing can run then until operators return a hall.
    pub(super) fn are_all_halls_drained(&self) -> bool {
        if self.drained_halls.halls.is_empty() {
            return false;
        }
        let mut linked = self.sides.values().filter(|side| side.session.is_some());
        linked.clone().next().is_some() && linked.all(|side: &SideView| side.is_hall_drained)
    }

    /// Refuses all jobs that have not started if every hall is drained: keeping them waiting would only cost their
    /// callers time.
    fn refuse_without_halls(&mut self, now: Moment) {
        if !self.are_all_halls_drained() {
            return;
        }
        let waiting: Vec<JobId> = self.waiting.values().copied().collect();
        for id in waiting {
            self.refuse_if_not_started(now, id);
        }
    }

    /// Refuses a job if none of its tasks may have run.
    pub(super) fn refuse_if_not_started(&mut self, now: Moment, id: JobId) {
        let is_new = |job: &ActiveJob| !job.may_have_run();
        if self.jobs.get(&id).is_some_and(is_new) {
            let retry_after = self.retry_after(now, id);
            self.answer(now, id, JobAnswer::Refused { retry_after });
        }
    }
}
