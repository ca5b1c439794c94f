//! Tasks that can never complete: they crash the targets on which they start, fail, or stall.

use std::time::Duration;

use mastknot_core::agent::{AgentEvent, ProbeFailure};
use mastknot_core::job::{JobId, RunId, TaskRef};

use super::TargetBehaviour;
use super::action::Action;
use super::job_system::{JobSystem, TARGET_DELAY};

/// Describes how the first tasks of a job crash the targets on which they start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCrash {
    /// Number of tasks of the job that crash their targets.
    pub tasks: u16,
    /// Time from the start of a task to the crash.
    pub after: Duration,
    /// Time until the target starts again.
    pub downtime: Duration,
    /// Whether the crashed target is silent. Otherwise it resets and refuses connections.
    pub is_silent: bool,
}

impl JobSystem {
    /// Submits a job like [`JobSystem::submit`] whose first tasks crash each target on which they start.
    pub fn submit_crashing(
        &mut self,
        at: Duration,
        entry: usize,
        tasks: u16,
        work: Duration,
        crash: TaskCrash,
    ) -> JobId {
        let job = self.submit(at, entry, tasks, work);
        self.make_tasks_crash_targets(job, crash);
        job
    }

    /// Makes the first tasks of a job crash each target on which they start.
    pub fn make_tasks_crash_targets(&mut self, job: JobId, crash: TaskCrash) {
        for index in 0..crash.tasks {
            let task = TaskRef {
                job,
                step: 0,
                index,
            };
            self.crashing.insert(task, crash);
        }
    }

    /// Submits a job like [`JobSystem::submit`]. Every target runs its first task as if the target behaved as
    /// `behaviour` specifies.
    pub fn submit_with_behaviour(
        &mut self,
        at: Duration,
        entry: usize,
        tasks: u16,
        work: Duration,
        behaviour: TargetBehaviour,
    ) -> JobId {
        let job = self.submit(at, entry, tasks, work);
        let task = TaskRef {
            job,
            step: 0,
            index: 0,
        };
        self.task_behaviours.insert(task, behaviour);
        job
    }

    /// Schedules the crash of the target if the task of a run that has begun crashes targets.
    pub(super) fn plan_target_crash(&mut self, side: usize, run: RunId) {
        let Some(crash) = self.crashing.get(&run.task) else {
            return;
        };
        let after = crash.after.as_micros() as u64;
        let target_incarnation = self.targets[side].target_incarnation;
        self.schedule_in(
            after,
            Action::CrashTargetOfRun {
                side,
                target_incarnation,
                run,
            },
        );
    }

    pub(super) fn crash_target_of_run(&mut self, side: usize, target_incarnation: u64, run: RunId) {
        let Some(crash) = self.crashing.get(&run.task).copied() else {
            return;
        };
        self.advance_target(side);
        let slot = &self.targets[side];
        let target = slot
            .target
            .as_ref()
            .filter(|_| slot.target_incarnation == target_incarnation);
        if !target.is_some_and(|target| target.running().contains(&run)) {
            return;
        }
        self.audit.record_crash(run.task);
        if !crash.is_silent {
            self.reset_probe(side);
        }
        self.crash_target(side, crash.is_silent);
        let downtime = crash.downtime.as_micros() as u64;
        self.schedule_in(downtime, Action::StartTarget { side });
    }

    /// Resets the connection of the probe that waits at a target that crashes.
    fn reset_probe(&mut self, side: usize) {
        let Some(open) = self.targets[side].open_probe.take() else {
            return;
        };
        let event = AgentEvent::Probed {
            number: open.number,
            result: Err(ProbeFailure::Silent),
        };
        self.side_input(TARGET_DELAY, side, open.incarnation, event);
    }
}
