//! Tasks that ran on targets that crashed: kept apart on trial, and given up once it is known that they did it.

use std::sync::Arc;
use std::time::Duration;

use super::SchedulerDecision;
use super::active_job::{ActiveJob, TaskState};
use super::crash_history::CrashStanding;
use super::job_scheduler::JobScheduler;
use super::run_at_crash::SOON;
use super::side_view::SideView;
use crate::job::{
    FailureCause, JobAnswer, JobId, TargetCrash, TaskRef, are_similar_run_times, trial_time,
};
use crate::types::{Moment, NodeName};

impl JobScheduler {
    /// A side tells of a crash. Whoever owns the runs, each entry learns what ran there.
    pub(super) fn record_crash(&mut self, now: Moment, side: &NodeName, crash: &TargetCrash) {
        let blamed = self.containment.blamed(crash);
        if !self.crashes.note(now, side, &blamed) {
            return;
        }
        self.counters.target_crashes += 1;
        let without_bystanders = self.crashes.without_bystanders(crash);
        self.contain_guilty_kinds(now, side, &without_bystanders);
        for crashed in &crash.runs {
            self.give_up_if_confirmed(now, crashed.run.task);
        }
    }

    /// Answers a job that comes again with a task that is known to crash targets, before anything of it starts.
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

    /// A task that crashes its targets is never started again: each start would cost a target, and all that
    /// runs there, for seconds.
    pub(super) fn give_up_if_confirmed(&mut self, now: Moment, task: TaskRef) {
        let is_open = self.jobs.get(&task.job).is_some_and(|job| !job.is_over);
        if !is_open || self.crashes.standing(&task) != CrashStanding::Guilty {
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
            ran_ms: self.crashes.ran_ms(&task),
        });
        let cause = FailureCause::CrashesTargets;
        self.answer(now, task.job, JobAnswer::Failed { cause });
    }

    /// How long a task ran until its last target crashed, if it is kept apart from others by itself: tasks of contained
    /// kinds are kept apart by job.
    pub(super) fn individual_suspect_time(&self, job: &ActiveJob, task: usize) -> Option<Duration> {
        if self.isolated_time_to_crash(job.kind(task)).is_some() {
            return None;
        }
        self.crashes.suspect_ran(&job.tasks[task].name)
    }

    /// Whether a side runs another suspect of this entry whose targets crashed after about the same time: if its
    /// target crashed, nothing would tell which of them did it.
    pub(super) fn runs_similar_suspect(&self, now: Moment, ran: Duration, side: &SideView) -> bool {
        let mut others = side.runs.keys();
        others.any(|run| {
            let other = self.crashes.suspect_ran(&run.task);
            other.is_some_and(|other| {
                is_on_trial(now, side, other) && are_similar_run_times(ran, other)
            })
        })
    }

    /// Whether another task of the job is on trial that may have crashed the same target: if it did, the job is
    /// answered, and this one need not cost a target of its own.
    pub(super) fn waits_for_trial(&self, now: Moment, job: &ActiveJob, task: usize) -> bool {
        if self.isolated_time_to_crash(job.kind(task)).is_some() {
            // It has a target for itself: all its tasks cost one together.
            return false;
        }
        let ran = self.crashes.suspect_ran(&job.tasks[task].name);
        let Some(ran) = ran.filter(|ran| *ran <= SOON) else {
            return false;
        };
        job.tasks.iter().any(|other| match &other.state {
            TaskState::Ordered { side, .. } => {
                let view = self.sides.get(side);
                let like = self.crashes.suspect_ran(&other.name);
                let like = like.filter(|like| are_similar_run_times(ran, *like));
                view.zip(like)
                    .is_some_and(|(view, like)| is_on_trial(now, view, like))
            }
            _ => false,
        })
    }
}

/// Whether what was started last at a side may still be on trial. A run that is older than that start counts as on
/// trial for a little too long.
fn is_on_trial(now: Moment, side: &SideView, ran: Duration) -> bool {
    now.since(side.last_start) <= trial_time(ran)
}
