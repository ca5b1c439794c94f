//! Suspects: tasks that ran on targets that crashed. They are isolated in trials, and given up once they are confirmed
//! to have caused the crashes.

use std::sync::Arc;
use std::time::Duration;

use super::SchedulerDecision;
use super::active_job::{ActiveJob, TaskState};
use super::crash_history::CrashSuspicion;
use super::job_scheduler::JobScheduler;
use super::run_at_crash::EARLY_CRASH;
use super::side_view::SideView;
use crate::job::{
    FailureCause, JobAnswer, JobId, TargetCrash, TaskRef, are_similar_run_times, trial_time,
};
use crate::types::{Moment, NodeName};

impl JobScheduler {
    /// Records a crash that a side has reported. Each entry records what ran on the target, including runs of other
    /// entries.
    pub(super) fn record_crash(&mut self, now: Moment, side: &NodeName, crash: &TargetCrash) {
        let attributed = self.containment.attributed(crash);
        if !self.crashes.record(now, side, &attributed) {
            return;
        }
        self.counters.target_crashes += 1;
        let without_unrelated_runs = self.crashes.without_unrelated_runs(crash);
        self.contain_confirmed_kinds(now, side, &without_unrelated_runs);
        for crashed in &crash.runs {
            self.give_up_if_confirmed(now, crashed.run.task);
        }
    }

    /// Gives up a job that is submitted again if one of its tasks is known to crash targets, before any of its tasks
    /// start.
    pub(super) fn give_up_known_crashers(&mut self, now: Moment, id: JobId) {
        self.crashes.forget_old(now);
        if self.crashes.is_empty() {
            return;
        }
        let tasks = self.jobs.get(&id).into_iter().flat_map(|job| &job.tasks);
        let tasks: Vec<TaskRef> = tasks.map(|task| task.name).collect();
        for task in tasks {
            self.give_up_if_confirmed(now, task);
        }
        self.give_up_suspect(now, id);
    }

    /// Gives up a job if the task is confirmed to crash targets: each further start would cost a target, and everything
    /// that runs there, for seconds.
    pub(super) fn give_up_if_confirmed(&mut self, now: Moment, task: TaskRef) {
        let is_open = self.jobs.get(&task.job).is_some_and(|job| !job.is_over);
        if !is_open || self.crashes.suspicion(&task) != CrashSuspicion::Confirmed {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let request_id = Arc::clone(&job.request.request_id);
        self.counters.tasks_given_up += 1;
        self.record_decision(SchedulerDecision::TaskGivenUp {
            task,
            request_id,
            ran_ms: self.crashes.times_to_crash_ms(&task),
        });
        let cause = FailureCause::CrashesTargets;
        self.answer(now, task.job, JobAnswer::Failed { cause });
    }

    /// Returns how long a task ran until its last target crashed, if it is a suspect that is isolated by itself. Tasks
    /// of isolated kinds are isolated by job instead.
    pub(super) fn individual_suspect_time(&self, job: &ActiveJob, task: usize) -> Option<Duration> {
        if self.isolated_time_to_crash(job.kind(task)).is_some() {
            return None;
        }
        self.crashes.suspect_time_to_crash(&job.tasks[task].name)
    }

    /// Returns whether a side runs another suspect of this entry whose targets crashed after about the same time. If
    /// the target crashed again, nothing would show which of the two caused it.
    pub(super) fn runs_similar_suspect(
        &self,
        now: Moment,
        time_to_crash: Duration,
        side: &SideView,
    ) -> bool {
        let mut others = side.runs.keys();
        others.any(|run| {
            let other = self.crashes.suspect_time_to_crash(&run.task);
            other.is_some_and(|other| {
                is_on_trial(now, side, other) && are_similar_run_times(time_to_crash, other)
            })
        })
    }

    /// Returns whether the task must wait for the trial of another task of its job that may have crashed the same
    /// target. If that task is the cause, the job is answered, and this task does not cost a target of its own.
    pub(super) fn waits_for_trial(&self, now: Moment, job: &ActiveJob, task: usize) -> bool {
        if self.isolated_time_to_crash(job.kind(task)).is_some() {
            // The kind has targets of its own, so all tasks of the job cost a single target together.
            return false;
        }
        let time_to_crash = self.crashes.suspect_time_to_crash(&job.tasks[task].name);
        let Some(time_to_crash) = time_to_crash.filter(|time| *time <= EARLY_CRASH) else {
            return false;
        };
        job.tasks.iter().any(|other| match &other.state {
            TaskState::Ordered { side, .. } => {
                let view = self.sides.get(side);
                let similar = self.crashes.suspect_time_to_crash(&other.name);
                let similar =
                    similar.filter(|similar| are_similar_run_times(time_to_crash, *similar));
                view.zip(similar)
                    .is_some_and(|(view, similar)| is_on_trial(now, view, similar))
            }
            _ => false,
        })
    }
}

/// Returns whether the last start at a side may still be in its isolation trial. An older run at the side counts as in
/// a trial for slightly too long.
fn is_on_trial(now: Moment, side: &SideView, time_to_crash: Duration) -> bool {
    now.since(side.last_start) <= trial_time(time_to_crash)
}
