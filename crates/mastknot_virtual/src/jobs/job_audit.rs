use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mastknot_core::job::{CancelOutcome, JobAnswer, JobId, LeaseTerms, RunId, TaskRef};

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobViolation {
    /// A task ran twice at the same time.
    RanConcurrently {
        /// Task that ran twice.
        task: TaskRef,
        /// Target and id of the earlier run.
        first: (usize, RunId),
        /// Target and id of the later run.
        second: (usize, RunId),
        /// Time of the second start, in microseconds.
        at: u64,
    },
    /// A task started although all answers to its job stated that it would not run.
    RefusedAndRan {
        /// Job that was refused.
        job: JobId,
    },
    /// A job was answered as completed although one of its tasks was not done.
    CompletedWithoutTask {
        /// Task that was not done.
        task: TaskRef,
    },
    /// A start made the runs of a target exceed its capacity.
    StartedWithoutCapacity {
        /// Run that was started.
        run: RunId,
        /// Processor time that all runs of the target used then, in thousandths of a core.
        used_cpu_millis: u32,
    },
    /// A task that crashes targets was started too often after this was known.
    StartedDespiteCrashes {
        /// Task that crashes targets.
        task: TaskRef,
        /// Number of targets that the task had crashed.
        crashes: u32,
        /// Time of the start, in microseconds.
        at: u64,
    },
    /// A task ran although all callers of its job had left long before.
    RanAfterCallersLeft {
        /// Job whose callers had left.
        job: JobId,
        /// Time for which the task ran after the callers had left, in microseconds.
        after: u64,
    },
    /// A task started too long after the cancel of its job was acknowledged.
    StartedAfterCancel {
        /// Run that was started.
        run: RunId,
        /// Time from the acknowledgement to the start, in microseconds.
        after: u64,
    },
    /// A task ran too long after the cancel of its job was acknowledged.
    RanAfterCancel {
        /// Run that went on.
        run: RunId,
        /// Time from the acknowledgement to the end of the run, in microseconds.
        after: u64,
    },
    /// A task started in a hall that had been drained for too long.
    StartedInDrainedHall {
        /// Run that was started.
        run: RunId,
        /// Time from the drain of the hall to the start, in microseconds.
        after: u64,
    },
    /// A caller received no answer within its time limit.
    Unanswered {
        /// Job that the caller submitted.
        job: JobId,
        /// Time at which the job was submitted, in microseconds.
        submitted_at: u64,
    },
}

/// Maximum time from the drain of a hall to the last start in it, in microseconds. The users require this
/// bound.
const MAX_DRAIN_DELAY: u64 = 5_000_000;
/// Maximum time from the acknowledgement of a cancel to a start of the job, in microseconds. The users require this
/// bound.
const MAX_START_AFTER_CANCEL: u64 = 3_000_000;
/// Time since its start from which a process counts as in touch, in microseconds. The bound for starts holds only for
/// entries in touch, as the users define it.
const IN_TOUCH_AFTER: u64 = 3_000_000;
/// Maximum time from the acknowledgement of a cancel to the end of the job's runs, in microseconds: the time in which
/// targets stop a run is added to the bound for starts.
const MAX_RUN_AFTER_CANCEL: u64 = MAX_START_AFTER_CANCEL + 50_000;
/// Number of crashes of targets after which a task must be known to crash them.
const CONFIRMING_CRASHES: u32 = 3;
/// Number of starts that may still follow, because the orders were under way or their entry was disconnected.
const MAX_STARTS_AFTER: u32 = 2;

/// Answer that a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenAnswer {
    /// Content of the answer.
    pub answer: JobAnswer,
    /// Time for which the caller waited.
    pub after: Duration,
}

/// Observes targets and callers and records violations of the guarantees.
#[derive(Clone, Debug, Default)]
pub struct JobAudit {
    running: BTreeMap<TaskRef, Vec<(usize, RunId)>>,
    started: BTreeSet<JobId>,
    done: BTreeSet<TaskRef>,
    /// Target at which each task was last done, and the time in microseconds.
    last_done: BTreeMap<TaskRef, (usize, u64)>,
    answers: BTreeMap<JobId, Vec<GivenAnswer>>,
    /// Number of starts of each task.
    starts: BTreeMap<TaskRef, u32>,
    /// Number of targets that each task has crashed.
    crashes: BTreeMap<TaskRef, u32>,
    /// Number of starts of each task after it was known to crash targets.
    starts_despite_crashes: BTreeMap<TaskRef, u32>,
    /// Time at which the callers of a job had left, in microseconds.
    left: BTreeMap<JobId, u64>,
    /// Runs that were ordered by entries that were not in touch yet.
    ordered_out_of_touch: BTreeSet<RunId>,
    /// Outcomes of the cancels of each job, with the times at which they were given, in microseconds.
    cancels: BTreeMap<JobId, Vec<(u64, CancelOutcome)>>,
    /// Longest time from the acknowledgement of a job's cancel to a start of the job, in microseconds.
    latest_cancelled_start: BTreeMap<JobId, u64>,
    /// Longest time from the acknowledgement of a job's cancel to the end of a run, in microseconds.
    latest_cancelled_run: BTreeMap<JobId, u64>,
    /// Longest time from the drain of a hall to a start in it, in microseconds.
    latest_drained_start: u64,
    drained_starts: usize,
    violations: Vec<JobViolation>,
}

impl JobAudit {
    pub(super) fn started_in_drained_hall(&mut self, run: RunId, after: u64) {
        self.drained_starts += 1;
        self.latest_drained_start = self.latest_drained_start.max(after);
        if after > MAX_DRAIN_DELAY {
            let violation = JobViolation::StartedInDrainedHall { run, after };
            self.violations.push(violation);
        }
    }

    /// Returns the longest time from the drain of a hall to a start in it.
    pub fn latest_drained_start(&self) -> Duration {
        Duration::from_micros(self.latest_drained_start)
    }

    /// Records the order to start a run, by an entry that has been running for the given time in microseconds.
    pub(super) fn start_ordered(&mut self, run: RunId, running_for: u64) {
        if running_for < IN_TOUCH_AFTER {
            self.ordered_out_of_touch.insert(run);
        }
    }

    pub(super) fn cancel_answered(&mut self, at: u64, job: JobId, outcome: CancelOutcome) {
        self.cancels.entry(job).or_default().push((at, outcome));
    }

    /// Returns the outcomes of the cancels of a job, in the order in which they were given.
    pub fn cancels_of(&self, job: JobId) -> Vec<CancelOutcome> {
        let cancels = self.cancels.get(&job).into_iter().flatten();
        cancels.map(|(_, outcome)| *outcome).collect()
    }

    /// Returns the time since the first acknowledgement of a job's cancel, in microseconds.
    fn since_cancel(&self, at: u64, job: JobId) -> Option<u64> {
        let cancels = self.cancels.get(&job)?;
        let is_acknowledged =
            |(_, outcome): &&(u64, CancelOutcome)| *outcome != CancelOutcome::Unconfirmed;
        let (acknowledged, _) = cancels.iter().find(is_acknowledged)?;
        Some(at.saturating_sub(*acknowledged))
    }

    fn check_start_after_cancel(&mut self, at: u64, run: RunId) {
        let job = run.task.job;
        let Some(after) = self.since_cancel(at, job) else {
            return;
        };
        let latest = self.latest_cancelled_start.entry(job).or_default();
        *latest = after.max(*latest);
        if after > MAX_START_AFTER_CANCEL && !self.ordered_out_of_touch.contains(&run) {
            let violation = JobViolation::StartedAfterCancel { run, after };
            self.violations.push(violation);
        }
    }

    fn check_run_after_cancel(&mut self, at: u64, run: RunId) {
        let job = run.task.job;
        let Some(after) = self.since_cancel(at, job) else {
            return;
        };
        let latest = self.latest_cancelled_run.entry(job).or_default();
        *latest = after.max(*latest);
        if after > MAX_RUN_AFTER_CANCEL {
            let violation = JobViolation::RanAfterCancel { run, after };
            self.violations.push(violation);
        }
    }

    /// Returns the longest time from the acknowledgement of a job's cancel to a start of the job; `None` if nothing was
    /// started after it.
    pub fn latest_start_after_cancel(&self, job: JobId) -> Option<Duration> {
        let after = self.latest_cancelled_start.get(&job)?;
        Some(Duration::from_micros(*after))
    }

    /// Returns the longest time from the acknowledgement of a job's cancel to the end of a run; `None` if nothing ran
    /// after it.
    pub fn latest_run_after_cancel(&self, job: JobId) -> Option<Duration> {
        let after = self.latest_cancelled_run.get(&job)?;
        Some(Duration::from_micros(*after))
    }

    pub(super) fn run_started(&mut self, at: u64, target: usize, run: RunId) {
        self.check_start_after_cancel(at, run);
        self.started.insert(run.task.job);
        let running = self.running.entry(run.task).or_default();
        if let Some(first) = running.first().copied() {
            self.violations.push(JobViolation::RanConcurrently {
                task: run.task,
                first,
                second: (target, run),
                at,
            });
        }
        running.push((target, run));
        *self.starts.entry(run.task).or_default() += 1;
        self.check_crashes(at, run.task);
    }

    /// Returns the number of starts of a task.
    pub fn starts_of(&self, task: TaskRef) -> u32 {
        self.starts.get(&task).copied().unwrap_or_default()
    }

    fn check_crashes(&mut self, at: u64, task: TaskRef) {
        let crashes = self.crashes.get(&task).copied().unwrap_or_default();
        if crashes < CONFIRMING_CRASHES {
            return;
        }
        let starts = self.starts_despite_crashes.entry(task).or_default();
        *starts += 1;
        if *starts > MAX_STARTS_AFTER {
            self.violations
                .push(JobViolation::StartedDespiteCrashes { task, crashes, at });
        }
    }

    pub(super) fn started_without_capacity(&mut self, run: RunId, used_cpu_millis: u32) {
        self.violations.push(JobViolation::StartedWithoutCapacity {
            run,
            used_cpu_millis,
        });
    }

    pub(super) fn record_crash(&mut self, task: TaskRef) {
        *self.crashes.entry(task).or_default() += 1;
    }

    /// Returns the number of targets that a task has crashed.
    pub fn crashed_targets(&self, task: TaskRef) -> u32 {
        self.crashes.get(&task).copied().unwrap_or_default()
    }

    pub(super) fn callers_left(&mut self, job: JobId, at: u64) {
        self.left.insert(job, at);
    }

    /// Records a violation if a run lasted longer after its callers had left than any lease allows.
    fn check_left(&mut self, at: u64, job: JobId) {
        let Some(left) = self.left.get(&job) else {
            return;
        };
        let after = at.saturating_sub(*left);
        if after > LeaseTerms::default().run_over_after.as_micros() as u64 {
            self.violations
                .push(JobViolation::RanAfterCallersLeft { job, after });
        }
    }

    pub(super) fn run_ended(&mut self, at: u64, target: usize, run: RunId, is_done: bool) {
        self.check_left(at, run.task.job);
        self.check_run_after_cancel(at, run);
        if let Some(running) = self.running.get_mut(&run.task) {
            running.retain(|other| *other != (target, run));
        }
        if is_done {
            self.done.insert(run.task);
            self.last_done.insert(run.task, (target, at));
        }
    }

    /// Returns the target at which a task was last done, and the time.
    pub fn last_done(&self, task: TaskRef) -> Option<(usize, Duration)> {
        let (target, at) = self.last_done.get(&task)?;
        Some((*target, Duration::from_micros(*at)))
    }

    pub(super) fn answered(&mut self, job: JobId, given: GivenAnswer, tasks: &[TaskRef]) {
        if given.answer == JobAnswer::Completed {
            let missing = tasks.iter().find(|task| !self.done.contains(*task));
            if let Some(task) = missing {
                let violation = JobViolation::CompletedWithoutTask { task: *task };
                self.violations.push(violation);
            }
        }
        self.answers.entry(job).or_default().push(given);
    }

    pub(super) fn unanswered(&mut self, job: JobId, submitted_at: u64) {
        self.violations
            .push(JobViolation::Unanswered { job, submitted_at });
    }

    /// Returns all violations. `unanswered` contains the jobs of which a caller received no answer at all.
    pub(super) fn finish(&self, unanswered: &BTreeSet<JobId>) -> Vec<JobViolation> {
        let is_refusal = |given: &GivenAnswer| matches!(given.answer, JobAnswer::Refused { .. });
        let refused = self.answers.iter().filter(|(job, answers)| {
            answers.iter().all(is_refusal)
                && !unanswered.contains(job)
                && self.started.contains(job)
        });
        let refused = refused.map(|(job, _)| JobViolation::RefusedAndRan { job: *job });
        self.violations.iter().cloned().chain(refused).collect()
    }

    /// Returns the number of answers that match a condition.
    pub fn count(&self, is_kind: impl Fn(&JobAnswer) -> bool) -> usize {
        let answers = self.answers.values().flatten();
        answers.filter(|given| is_kind(&given.answer)).count()
    }

    /// Returns the number of the given jobs that were answered as completed.
    pub fn completed(&self, jobs: &[JobId]) -> usize {
        let is_completed = |job: &&JobId| {
            let mut answers = self.answers_to(**job).iter();
            answers.any(|given| given.answer == JobAnswer::Completed)
        };
        jobs.iter().filter(is_completed).count()
    }

    /// Returns the answers to the callers of a job, in the order in which they were given.
    pub fn answers_to(&self, job: JobId) -> &[GivenAnswer] {
        self.answers.get(&job).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of jobs of which a task has started.
    pub fn started_jobs(&self) -> usize {
        self.started.len()
    }
}
