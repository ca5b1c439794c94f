use std::sync::Arc;
use std::time::Duration;

use super::CallerId;
use super::claim_state::ClaimState;
use super::job_forecast::JobForecast;
use super::order_key::{JobTimes, OrderKey};
use crate::job::{AttemptNumbers, JobRequest, QueuePolicy, StepSpec, TaskKind, TaskRef};
use crate::types::{Moment, NodeName};

/// The longest run of a step counts as its work up to so many times the middle one: tasks differ by about a seventh.
const MAX_WORK_RATIO: f64 = 1.3;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Steps before it are not done.
    Blocked,
    /// It waits for room.
    Waiting,
    /// It was given to a side and is not known to be over.
    Ordered { side: NodeName, attempt: u64 },
    /// It has done its work.
    Done,
}

/// A task of an active job.
#[derive(Clone, Debug)]
pub(crate) struct ActiveTask {
    pub(crate) name: TaskRef,
    pub(crate) state: TaskState,
    /// Failures that count.
    pub(crate) failures: u32,
    /// Ends that are put down to targets, and on how many sides they came about.
    pub(crate) ambiguous_failures: u32,
    pub(crate) ambiguous_failure_sides: u32,
    /// Targets that have crashed under it.
    pub(crate) crashes: u32,
    /// Sides where it failed or stood still.
    pub(crate) avoided: Vec<NodeName>,
    /// How long the run that did its work would have taken on the middle of all targets.
    pub(crate) work: Duration,
}

/// A job that has not been answered, or of which something may still run.
#[derive(Clone, Debug)]
pub(crate) struct ActiveJob {
    pub(crate) request: JobRequest,
    pub(crate) policy: Arc<QueuePolicy>,
    pub(crate) callers: Vec<CallerId>,
    pub(crate) sequence: u64,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    pub(crate) times: JobTimes,
    pub(crate) tasks: Vec<ActiveTask>,
    /// The kind of each step's tasks.
    pub(crate) kinds: Vec<TaskKind>,
    /// How long each step is expected to take.
    pub(crate) expected: Vec<Duration>,
    /// From then on it is refused if nothing of it has begun.
    pub(crate) start_timeout_at: Moment,
    pub(crate) attempts: AttemptNumbers,
    pub(crate) first_start: Option<Moment>,
    /// Starts ordered, and how many of them are known not to have begun.
    pub(crate) starts: u64,
    pub(crate) starts_not_run: u64,
    /// Answered or abandoned: nothing more is started.
    pub(crate) is_over: bool,
    /// Whether this entry may start it.
    pub(crate) claim: ClaimState,
    /// Its place among the waiting jobs, if it has one.
    pub(crate) key: Option<OrderKey>,
    pub(crate) forecast: JobForecast,
}

impl ActiveJob {
    /// The tasks of a new job.
    pub(crate) fn initial_tasks(request: &JobRequest) -> Vec<ActiveTask> {
        let mut tasks = Vec::new();
        for (step, spec) in request.steps.iter().enumerate() {
            for index in 0..spec.count {
                tasks.push(ActiveTask {
                    name: TaskRef {
                        job: request.id,
                        step: step as u16,
                        index,
                    },
                    state: TaskState::Blocked,
                    failures: 0,
                    ambiguous_failures: 0,
                    ambiguous_failure_sides: 0,
                    crashes: 0,
                    avoided: Vec::new(),
                    work: Duration::ZERO,
                });
            }
        }
        tasks
    }

    pub(crate) fn step(&self, task: usize) -> &StepSpec {
        &self.request.steps[usize::from(self.tasks[task].name.step)]
    }

    /// The kind of a task.
    pub(crate) fn kind(&self, task: usize) -> TaskKind {
        self.kinds[usize::from(self.tasks[task].name.step)]
    }

    /// The place of a task in the list of tasks.
    pub(crate) fn task_index(&self, name: &TaskRef) -> Option<usize> {
        self.tasks.iter().position(|task| task.name == *name)
    }

    /// Lets the tasks wait for room whose earlier steps are done.
    pub(crate) fn unblock(&mut self) {
        let done: Vec<bool> = (0..self.request.steps.len())
            .map(|step| self.is_step_done(step))
            .collect();
        for task in &mut self.tasks {
            let spec = &self.request.steps[usize::from(task.name.step)];
            let is_ready = spec.after.iter().all(|after| done[usize::from(*after)]);
            if task.state == TaskState::Blocked && is_ready {
                task.state = TaskState::Waiting;
            }
        }
    }

    fn is_step_done(&self, step: usize) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.all(|task| usize::from(task.name.step) != step || task.state == TaskState::Done)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    pub(crate) fn waiting_tasks(&self) -> Vec<usize> {
        let tasks = self.tasks.iter().enumerate();
        let waiting = tasks.filter(|(_, task)| task.state == TaskState::Waiting);
        waiting.map(|(place, _)| place).collect()
    }

    /// Whether tasks of it wait for room.
    pub(crate) fn has_waiting(&self) -> bool {
        let mut tasks = self.tasks.iter();
        let is_startable = !self.is_over && self.claim.is_granted;
        is_startable && tasks.any(|task| task.state == TaskState::Waiting)
    }

    pub(crate) fn ordered_tasks(&self) -> usize {
        let tasks = self.tasks.iter();
        let ordered = tasks.filter(|task| matches!(task.state, TaskState::Ordered { .. }));
        ordered.count()
    }

    /// Whether a task of it may have begun.
    pub(crate) fn may_have_begun(&self) -> bool {
        self.starts > self.starts_not_run
    }

    /// Whether a task of it may have begun here, or at another entry that was handed it too.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_begun() || self.claim.was_held_elsewhere
    }

    /// The longest work of a task of a finished step.
    pub(crate) fn longest_work(&self, step: u16) -> Option<Duration> {
        let of_step = self.tasks.iter().filter(|task| task.name.step == step);
        let work = of_step.map(|task| (task.state == TaskState::Done).then_some(task.work));
        work.collect::<Option<Vec<Duration>>>()?.into_iter().max()
    }

    /// The longest chain of work that is left, by what its steps are expected to take.
    pub(crate) fn remaining_chain(&self) -> Duration {
        self.longest_chain(|step| match self.is_step_done(step) {
            true => Duration::ZERO,
            false => self.expected[step],
        })
    }

    /// When it had to be done to be in time, by how long its tasks ran; none as long as one is not done.
    ///
    /// Callers go by the work, not by its guess.
    pub(crate) fn observed_objective(&self) -> Option<Moment> {
        let steps = 0..self.request.steps.len() as u16;
        let took: Option<Vec<Duration>> = steps.map(|step| self.healthy_step_time(step)).collect();
        let took = took?;
        Some(self.arrived + self.latency_objective(self.longest_chain(|step| took[step])))
    }

    /// How long a step took on sound targets: the tasks of a step have about the same work, so one that ran for much
    /// longer than most stood on a slow target.
    fn healthy_step_time(&self, step: u16) -> Option<Duration> {
        let longest = self.longest_work(step)?;
        let of_step = self.tasks.iter().filter(|task| task.name.step == step);
        let mut work: Vec<Duration> = of_step.map(|task| task.work).collect();
        work.sort_unstable();
        let middle = work.get(work.len().saturating_sub(1) / 2)?;
        Some(longest.min(middle.mul_f64(MAX_WORK_RATIO)))
    }

    /// The time in which a job is in time whose longest chain of work takes `chain`.
    pub(crate) fn latency_objective(&self, chain: Duration) -> Duration {
        chain.mul_f64(self.policy.stretch) + self.policy.allowance
    }

    fn longest_chain(&self, time_of: impl Fn(usize) -> Duration) -> Duration {
        let mut ends = vec![Duration::ZERO; self.request.steps.len()];
        for (step, spec) in self.request.steps.iter().enumerate() {
            let before = spec
                .after
                .iter()
                .map(|after| ends[usize::from(*after)])
                .max();
            ends[step] = before.unwrap_or_default() + time_of(step);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
