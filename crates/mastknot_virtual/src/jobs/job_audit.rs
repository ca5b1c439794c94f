use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId, LeaseTerms, RunId, TaskRef};

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobViolation {
    /// A task ran twice at the same time.
    RanConcurrently {
        /// The task.
        task: TaskRef,
        /// Its earlier run, at its target.
        first: (usize, RunId),
        /// The later one.
        second: (usize, RunId),
        /// When, in microseconds.
        at: u64,
    },
    /// A task started although all answers to its job said that it would not run.
    RefusedAndRan {
        /// The job.
        job: JobId,
    },
    /// A job was answered as completed although a task had not done its work.
    CompletedWithoutTask {
        /// The task.
        task: TaskRef,
    },
    /// A start brought a target over its room.
    StartedWithoutCapacity {
        /// The run.
        run: RunId,
        /// What all runs took then, in thousandths of a core.
        used_cpu_millis: u32,
    },
    /// A task that crashes its targets was started again and again.
    StartedDespiteCrashes {
        /// The task.
        task: TaskRef,
        /// How many targets had crashed under it.
        crashes: u32,
        /// When, in microseconds.
        at: u64,
    },
    /// A task ran although all callers of its job had left long before.
    RanAfterCallersLeft {
        /// The job.
        job: JobId,
        /// How long after they had left it still ran, in microseconds.
        after: u64,
    },
    /// A task started in a hall that had been drained for too long.
    StartedInDrainedHall {
        /// The run.
        run: RunId,
        /// How long after the hall was drained, in microseconds.
        after: u64,
    },
    /// A caller got no answer within its time.
    Unanswered {
        /// The job.
        job: JobId,
        /// When it was handed in, in microseconds.
        submitted_at: u64,
    },
}

/// Nothing starts in a hall that was drained so long ago, in microseconds: the users' bound.
const DRAINED_WITHIN: u64 = 5_000_000;
/// After so many crashes of targets under a task it must be known what it does.
const CRASHES_THAT_TELL: u32 = 3;
/// So many starts may still follow: they were on their way, or their entry was out of touch.
const STARTS_AFTER: u32 = 2;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenAnswer {
    /// The answer.
    pub answer: JobAnswer,
    /// How long the caller waited for it.
    pub after: Duration,
}

/// Watches targets and callers, and notes broken promises.
#[derive(Clone, Debug, Default)]
pub struct JobAudit {
    running: BTreeMap<TaskRef, Vec<(usize, RunId)>>,
    started: BTreeSet<JobId>,
    done: BTreeSet<TaskRef>,
    /// At which target each task has done its work last, and when, in microseconds.
    last_done: BTreeMap<TaskRef, (usize, u64)>,
    answers: BTreeMap<JobId, Vec<GivenAnswer>>,
    /// How often each task has started.
    starts: BTreeMap<TaskRef, u32>,
    /// Targets that tasks have crashed, and the starts after that could be known.
    crashes: BTreeMap<TaskRef, u32>,
    starts_in_spite: BTreeMap<TaskRef, u32>,
    /// When the callers of jobs had left, in microseconds.
    left: BTreeMap<JobId, u64>,
    /// How long after its hall was drained the last task has started there, in microseconds.
    latest_drained_start: u64,
    drained_starts: usize,
    violations: Vec<JobViolation>,
}

impl JobAudit {
    pub(super) fn started_in_drained_hall(&mut self, run: RunId, after: u64) {
        self.drained_starts += 1;
        self.latest_drained_start = self.latest_drained_start.max(after);
        if after > DRAINED_WITHIN {
            let violation = JobViolation::StartedInDrainedHall { run, after };
            self.violations.push(violation);
        }
    }

    /// How long after a hall was drained the last task has started there.
    pub fn latest_drained_start(&self) -> Duration {
        Duration::from_micros(self.latest_drained_start)
    }

    pub(super) fn run_started(&mut self, at: u64, target: usize, run: RunId) {
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

    /// How often a task has started.
    pub fn starts_of(&self, task: TaskRef) -> u32 {
        self.starts.get(&task).copied().unwrap_or_default()
    }

    fn check_crashes(&mut self, at: u64, task: TaskRef) {
        let crashes = self.crashes.get(&task).copied().unwrap_or_default();
        if crashes < CRASHES_THAT_TELL {
            return;
        }
        let starts = self.starts_in_spite.entry(task).or_default();
        *starts += 1;
        if *starts > STARTS_AFTER {
            self.violations
                .push(JobViolation::StartedDespiteCrashes { task, crashes, at });
        }
    }

    pub(super) fn started_without_room(&mut self, run: RunId, used_cpu_millis: u32) {
        self.violations.push(JobViolation::StartedWithoutCapacity {
            run,
            used_cpu_millis,
        });
    }

    pub(super) fn crashed_under(&mut self, task: TaskRef) {
        *self.crashes.entry(task).or_default() += 1;
    }

    /// How many targets a task has crashed.
    pub fn crashed_targets(&self, task: TaskRef) -> u32 {
        self.crashes.get(&task).copied().unwrap_or_default()
    }

    pub(super) fn callers_left(&mut self, job: JobId, at: u64) {
        self.left.insert(job, at);
    }

    /// Whether a run went on for longer than any lease under which it may run after its callers had left.
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
        if let Some(running) = self.running.get_mut(&run.task) {
            running.retain(|other| *other != (target, run));
        }
        if is_done {
            self.done.insert(run.task);
            self.last_done.insert(run.task, (target, at));
        }
    }

    /// At which target a task has done its work last, and when.
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

    pub(super) fn unanswered(&mut self, job: JobId, handed_in: u64) {
        self.violations.push(JobViolation::Unanswered {
            job,
            submitted_at: handed_in,
        });
    }

    /// Broken promises; `unanswered` are jobs of which a caller got no answer at all.
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

    /// How many answers of a kind were given.
    pub fn count(&self, is_kind: impl Fn(&JobAnswer) -> bool) -> usize {
        let answers = self.answers.values().flatten();
        answers.filter(|given| is_kind(&given.answer)).count()
    }

    /// How many of these jobs were answered as completed.
    pub fn completed(&self, jobs: &[JobId]) -> usize {
        let is_completed = |job: &&JobId| {
            let mut answers = self.answers_to(**job).iter();
            answers.any(|given| given.answer == JobAnswer::Completed)
        };
        jobs.iter().filter(is_completed).count()
    }

    /// What the callers of a job were told, in order.
    pub fn answers_to(&self, job: JobId) -> &[GivenAnswer] {
        self.answers.get(&job).map_or(&[], Vec::as_slice)
    }

    /// Jobs of which a task has started.
    pub fn started_jobs(&self) -> usize {
        self.started.len()
    }
}
