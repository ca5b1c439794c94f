use std::sync::Arc;
use std::time::Duration;

use super::CallerId;
use super::claim_state::ClaimState;
use super::job_forecast::JobForecast;
use super::order_key::{JobTimes, OrderKey};
use crate::job::{AttemptNumbers, JobRequest, QueuePolicy, StepSpec, TaskKind, TaskRef};
use crate::types::{Moment, NodeName};

/// Upper limit of a step's work, as a multiple of the median work of its tasks. The work of a step's tasks differs by
/// about a seventh, so a run that took much longer was on a slow target.
const MAX_WORK_RATIO: f64 = 1.3;

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// A step that the task depends on is not finished.
    Blocked,
    /// The task waits for capacity on a target.
    Waiting,
    /// The task was sent to a side, and its run is not known to be over.
    Ordered { side: NodeName, attempt: u64 },
    /// The task has finished its work.
    Done,
}

/// A task of an [`ActiveJob`].
#[derive(Clone, Debug)]
pub(crate) struct ActiveTask {
    pub(crate) name: TaskRef,
    pub(crate) state: TaskState,
    /// Number of failures that are attributed to the task itself.
    pub(crate) failures: u32,
    /// Number of failures that were attributed to targets. `ambiguous_failure_sides` counts the sides on which they
    /// occurred.
    pub(crate) ambiguous_failures: u32,
    pub(crate) ambiguous_failure_sides: u32,
    /// Number of targets that crashed while they ran the task.
    pub(crate) crashes: u32,
    /// Sides to avoid for the next run, because a run failed, stalled, was lost or was rejected for another suspect
    /// there.
    pub(crate) avoided: Vec<NodeName>,
    /// Time that the successful run would have taken on a target of median speed.
    pub(crate) work: Duration,
}

/// A job that is not answered yet, or of which a run may still be active.
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
    /// Kind of the tasks of each step.
    pub(crate) kinds: Vec<TaskKind>,
    /// Expected run time of the tasks of each step.
    pub(crate) expected: Vec<Duration>,
    /// Time at which the job is refused if none of its tasks has started.
    pub(crate) start_timeout_at: Moment,
    pub(crate) attempts: AttemptNumbers,
    pub(crate) first_start: Option<Moment>,
    /// Number of starts sent to sides. `starts_not_run` counts those that are known not to have run.
    pub(crate) starts: u64,
    pub(crate) starts_not_run: u64,
    /// Whether the job was answered or abandoned, so that no further task is started.
    pub(crate) is_over: bool,
    /// Claim that decides whether this entry may start the job's tasks.
    pub(crate) claim: ClaimState,
    /// Position among the waiting jobs; `None` if no task of the job waits.
    pub(crate) key: Option<OrderKey>,
    pub(crate) forecast: JobForecast,
}

impl ActiveJob {
    /// Returns the tasks of a new job, all of them blocked.
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

    /// Returns the kind of a task.
    pub(crate) fn kind(&self, task: usize) -> TaskKind {
        self.kinds[usize::from(self.tasks[task].name.step)]
    }

    /// Returns the index of a task in the list of tasks.
    pub(crate) fn task_index(&self, name: &TaskRef) -> Option<usize> {
        self.tasks.iter().position(|task| task.name == *name)
    }

    /// Lets blocked tasks wait for capacity once all steps that they depend on are done.
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
        waiting.map(|(index, _)| index).collect()
    }

    /// Returns whether the job may be started and has tasks that wait for capacity.
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

    /// Returns whether a task of the job may have started through this entry.
    pub(crate) fn may_have_begun(&self) -> bool {
        self.starts > self.starts_not_run
    }

    /// Returns whether a task of the job may have started through this entry, or through another entry that received
    /// the same job.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_begun() || self.claim.was_held_elsewhere
    }

    /// Returns the longest work of a step's tasks; `None` while one of them is not done.
    pub(crate) fn longest_work(&self, step: u16) -> Option<Duration> {
        let of_step = self.tasks.iter().filter(|task| task.name.step == step);
        let work = of_step.map(|task| (task.state == TaskState::Done).then_some(task.work));
        work.collect::<Option<Vec<Duration>>>()?.into_iter().max()
    }

    /// Returns the length of the longest remaining chain of dependent steps, by the expected run times of the steps.
    pub(crate) fn remaining_chain(&self) -> Duration {
        self.longest_chain(|step| match self.is_step_done(step) {
            true => Duration::ZERO,
            false => self.expected[step],
        })
    }

    /// Returns the time by which the job had to be done to be in time, computed from the actual work of its tasks;
    /// `None` while a task is not done.
    ///
    /// Callers judge an answer by the actual work of the job, not by the estimate in the request.
    pub(crate) fn observed_objective(&self) -> Option<Moment> {
        let steps = 0..self.request.steps.len() as u16;
        let took: Option<Vec<Duration>> = steps.map(|step| self.healthy_step_time(step)).collect();
        let took = took?;
        Some(self.arrived + self.latency_objective(self.longest_chain(|step| took[step])))
    }

    /// Returns the time that a step took on healthy targets.
    ///
    /// The tasks of a step have about the same work, so a task that ran for much longer than most of them was on a slow
    /// target.
    fn healthy_step_time(&self, step: u16) -> Option<Duration> {
        let longest = self.longest_work(step)?;
        let of_step = self.tasks.iter().filter(|task| task.name.step == step);
        let mut work: Vec<Duration> = of_step.map(|task| task.work).collect();
        work.sort_unstable();
        let middle = work.get(work.len().saturating_sub(1) / 2)?;
        Some(longest.min(middle.mul_f64(MAX_WORK_RATIO)))
    }

    /// Returns the latency objective of a job whose longest chain of dependent steps takes `chain`.
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
