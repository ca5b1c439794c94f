//! Ends of runs and of jobs.

use std::sync::Arc;

use super::SchedulerDecision;
use super::active_job::TaskState;
use super::job_scheduler::JobScheduler;
use crate::job::{
    EndOfRun, EndedRun, EntryOrder, FailureCause, JobAnswer, JobId, NotRunCause, RunId,
};
use crate::types::{Moment, NodeName};

/// Maximum number of sides that a task avoids.
const MAX_AVOIDED: usize = 4;

/// Number of sides on which runs of a task must end with failures that are attributed to targets before these failures
/// count against the task. A task is not started again on such a side while another side has capacity, and few targets
/// are bad at a time.
const MIN_SIDES_TO_ATTRIBUTE: u32 = 3;

impl JobScheduler {
    /// Handles the end of a run on a side.
    pub(super) fn handle_run_end(&mut self, now: Moment, side: &NodeName, ended: &EndedRun) {
        let run = ended.run;
        let view = self.sides.get_mut(side);
        let Some(id) = view.and_then(|view| view.runs.swap_remove(&run)) else {
            return;
        };
        self.count_end(ended.end);
        let slowdown = self
            .sides
            .get(side)
            .map_or(1.0, |view| self.slowdown_at(view));
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(index) = job.task_index(&run.task) else {
            return;
        };
        let is_current = matches!(
            &job.tasks[index].state,
            TaskState::Ordered { attempt, .. } if *attempt == run.attempt
        );
        if !is_current {
            return;
        }
        let task = &mut job.tasks[index];
        task.state = TaskState::Waiting;
        match ended.end {
            EndOfRun::Done => {
                task.state = TaskState::Done;
                task.work = ended.ran().div_f64(slowdown);
            }
            EndOfRun::Failed {
                is_target_suspect: false,
            } => {
                task.failures += 1;
                task.avoid(side);
            }
            EndOfRun::Failed {
                is_target_suspect: true,
            }
            | EndOfRun::Stalled => task.record_ambiguous_failure(side),
            EndOfRun::Lost => task.avoid(side),
            EndOfRun::Crashed => {
                task.crashes += 1;
                task.avoid(side);
            }
            EndOfRun::NotRun(NotRunCause::OldAttempt) => job.attempts.raise(),
            EndOfRun::NotRun(NotRunCause::OtherSuspect) => task.avoid(side),
            EndOfRun::Stopped | EndOfRun::NotRun(_) => {}
        }
        if matches!(ended.end, EndOfRun::NotRun(_)) {
            job.starts_not_run += 1;
            self.demand.obtained.subtract(job.task_work(index));
        }
        let kind = job.kind(index);
        let capacity = job.step(index).required_capacity;
        let estimate = job.step(index).estimate;
        let queue = Arc::clone(&job.policy.name);
        let failures = job.tasks[index].counted_failures();
        let crashes = job.tasks[index].crashes;
        let has_failed = failures >= job.policy.max_attempts.max(1);
        if ended.end != EndOfRun::Done && !job.is_over {
            let request_id = Arc::clone(&job.request.request_id);
            self.record_decision(SchedulerDecision::RunEnded {
                run,
                request_id,
                side: side.clone(),
                end: ended.end,
                failures,
                crashes,
            });
        }
        if has_failed {
            let cause = FailureCause::TaskFailed;
            self.answer(now, id, JobAnswer::Failed { cause });
        }
        if ended.end == EndOfRun::Crashed {
            self.give_up_if_confirmed(now, run.task);
            self.give_up_suspect(now, id);
        }
        if ended.end == EndOfRun::Done {
            self.learn_run_time(id, run.task.step);
            self.record_slowdown(&queue, side, estimate, ended.ran());
            self.kind_loads.record(kind, &capacity, ended.ran());
            self.containment.record_success(kind);
        }
        if ended.end == EndOfRun::NotRun(NotRunCause::OtherSuspect) {
            self.record_other_trial(now, side, kind);
        }
        self.after_end(now, id, ended.end);
    }

    /// Records the run time of a finished step for the estimates of its queue.
    fn learn_run_time(&mut self, id: JobId, step: u16) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if let Some(work) = job.longest_work(step)
            && let Some(spec) = job.request.steps.get(usize::from(step))
        {
            self.run_times.record(&job.policy.name, spec.estimate, work);
        }
    }

    fn after_end(&mut self, now: Moment, id: JobId, end: EndOfRun) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_over {
            self.remove_if_idle(now, id);
            return;
        }
        if end == EndOfRun::Done {
            job.unblock();
        }
        self.queue_job(now, id);
        self.finish_if_done(now, id);
    }

    pub(super) fn finish_if_done(&mut self, now: Moment, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.is_done()) {
            self.answer(now, id, JobAnswer::Completed);
        }
    }

    /// Stops the runs of a job. The job is removed once none of them is active.
    pub(super) fn end_job(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.is_over = true;
        self.deadlines.remove(&(job.deadline, id));
        let ordered = job.tasks.iter().filter_map(|task| match &task.state {
            TaskState::Ordered { side, attempt } => Some((
                side.clone(),
                RunId {
                    task: task.name,
                    attempt: *attempt,
                },
            )),
            _ => None,
        });
        let ordered: Vec<(NodeName, RunId)> = ordered.collect();
        self.queue_job(now, id);
        for (side, run) in ordered {
            let session = self.sides.get(&side).and_then(|view| view.session);
            if let Some(session) = session {
                self.send(session, EntryOrder::Stop(run));
            }
        }
        self.remove_if_idle(now, id);
    }

    fn remove_if_idle(&mut self, now: Moment, id: JobId) {
        let is_idle = |job: &super::active_job::ActiveJob| job.is_over && job.ordered_tasks() == 0;
        if self.jobs.get(&id).is_some_and(is_idle) {
            self.release_claim(now, id);
            self.jobs.remove(&id);
        }
    }

    fn count_end(&mut self, end: EndOfRun) {
        let counter = match end {
            EndOfRun::Done => &mut self.counters.runs_done,
            EndOfRun::Failed { .. } => &mut self.counters.runs_failed,
            EndOfRun::Stopped => &mut self.counters.runs_stopped,
            EndOfRun::Stalled => &mut self.counters.runs_stalled,
            EndOfRun::Lost => &mut self.counters.runs_lost,
            EndOfRun::Crashed => &mut self.counters.runs_crashed,
            EndOfRun::NotRun(NotRunCause::NoRoom) => &mut self.counters.starts_without_room,
            EndOfRun::NotRun(_) => &mut self.counters.starts_turned_away,
        };
        *counter += 1;
    }
}

impl super::active_job::ActiveTask {
    /// Resets the failures of a task, because a caller has submitted its job again.
    pub(super) fn reset_failures(&mut self) {
        self.failures = 0;
        self.ambiguous_failures = 0;
        self.ambiguous_failure_sides = 0;
    }

    /// Records the end of a run that was caused either by the task or by its target.
    fn record_ambiguous_failure(&mut self, side: &NodeName) {
        self.ambiguous_failures += 1;
        self.ambiguous_failure_sides += u32::from(!self.avoided.contains(side));
        self.avoid(side);
    }

    /// Returns the number of failures that count against the task.
    ///
    /// Failures that seem to be caused by targets count as well once they have occurred on several of them: where half
    /// of the jobs are bad, all targets seem to be at fault.
    fn counted_failures(&self) -> u32 {
        match self.ambiguous_failure_sides >= MIN_SIDES_TO_ATTRIBUTE {
            true => self.failures + self.ambiguous_failures,
            false => self.failures,
        }
    }

    fn avoid(&mut self, side: &NodeName) {
        if self.avoided.len() < MAX_AVOIDED && !self.avoided.contains(side) {
            self.avoided.push(side.clone());
        }
    }
}
