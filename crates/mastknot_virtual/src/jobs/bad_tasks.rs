//! Tasks that can never be done: they crash the targets on which they start, fail, or stand still.

use std::time::Duration;

use mastknot_core::agent::{AgentEvent, ProbeFailure};
use mastknot_core::job::{JobId, RunId, TaskRef};

use super::TargetBehaviour;
use super::act::Act;
use super::job_system::{JobSystem, TARGET_DELAY};

/// How the first tasks of a job crash what they start on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCrash {
    /// How many of the job's tasks do so.
    pub tasks: u16,
    /// How long after their start.
    pub after: Duration,
    /// For how long the target is gone.
    pub down: Duration,
    /// Whether the target is silent meanwhile, in place of resetting and refusing connections.
    pub is_silent: bool,
}

impl JobSystem {
    /// Hands in a job as [`JobSystem::submit`] does, the first tasks of which crash each target on which they
    /// start.
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

    /// Lets the first tasks of a job crash each target on which they start.
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

    /// Hands in a job as [`JobSystem::submit`] does, the first task of which every target runs as if it were in
    /// this mood.
    pub fn submit_with_behaviour(
        &mut self,
        at: Duration,
        entry: usize,
        tasks: u16,
        work: Duration,
        mood: TargetBehaviour,
    ) -> JobId {
        let job = self.submit(at, entry, tasks, work);
        let task = TaskRef {
            job,
            step: 0,
            index: 0,
        };
        self.task_moods.insert(task, mood);
        job
    }

    /// A run has begun: if its task is of that kind, its target will crash.
    pub(super) fn plan_crash_under(&mut self, side: usize, run: RunId) {
        let Some(crash) = self.crashing.get(&run.task) else {
            return;
        };
        let after = crash.after.as_micros() as u64;
        let lives = self.targets[side].lives;
        self.later(after, Act::CrashUnder { side, lives, run });
    }

    pub(super) fn crash_under(&mut self, side: usize, lives: u64, run: RunId) {
        let Some(crash) = self.crashing.get(&run.task).copied() else {
            return;
        };
        self.advance_target(side);
        let slot = &self.targets[side];
        let target = slot.target.as_ref().filter(|_| slot.lives == lives);
        if !target.is_some_and(|target| target.running().contains(&run)) {
            return;
        }
        self.audit.crashed_under(run.task);
        if !crash.is_silent {
            self.reset_look(side);
        }
        self.crash_target(side, crash.is_silent);
        let down = crash.down.as_micros() as u64;
        self.later(down, Act::StartTarget { side });
    }

    /// The look that waits at a target that dies: its connection is reset at once.
    fn reset_look(&mut self, side: usize) {
        let Some(open) = self.targets[side].open_look.take() else {
            return;
        };
        let event = AgentEvent::Probed {
            number: open.number,
            result: Err(ProbeFailure::Silent),
        };
        self.side_input(TARGET_DELAY, side, open.life, event);
    }
}
