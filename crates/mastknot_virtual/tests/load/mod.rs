//! Load of three kinds of jobs on a fleet in virtual time, and the answers that its callers receive.
#![allow(dead_code)]

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId};
use mastknot_core::scheduler::{ScarcitySettings, SchedulerCounters};
use mastknot_virtual::{GivenAnswer, JobSystem, JobSystemSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Processor time of a target, in thousandths of a processor: enough for nine tasks and a part of a tenth.
pub const TARGET_CPU: u32 = 15_000;
/// Number of tasks that a target runs at once.
pub const TASKS_PER_TARGET: f64 = 9.0;
/// Processor time that a running task needs, in thousandths of a processor.
const TASK_CPU: u32 = 1_600;
/// Time between two samples of the free capacity.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(7);
/// Usual load, as a share of what the targets can run.
pub const USUAL: f64 = 0.54;
/// Time by which the links are established.
pub const SETTLED: Duration = Duration::from_secs(4);
/// Time after the end of a load within which the last job is answered.
pub const DRAINED: Duration = Duration::from_secs(6);
/// Largest factor by which an estimate differs from the actual time, in either direction.
const ESTIMATE_SPREAD: f64 = 1.6;
/// Largest factor by which the work of a task differs from its kind's usual work, in either direction.
const WORK_SPREAD: f64 = 1.7;

/// Kind of job with its own queue.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub queue: &'static str,
    pub priority: u32,
    pub tasks: u16,
    pub work_ms: f64,
    /// Number of jobs of this kind among 843.5 jobs of all kinds.
    pub jobs: f64,
}

/// Kinds of jobs in the load.
pub const KINDS: [Kind; 3] = [
    Kind {
        queue: "urgent",
        priority: 0,
        tasks: 8,
        work_ms: 60.0,
        jobs: 206.0,
    },
    Kind {
        queue: "short",
        priority: 1,
        tasks: 2,
        work_ms: 200.0,
        jobs: 600.0,
    },
    Kind {
        queue: "long",
        priority: 2,
        tasks: 4,
        work_ms: 900.0,
        jobs: 37.5,
    },
];

impl Kind {
    /// Returns the work of all tasks of one job, in milliseconds.
    fn work(&self) -> f64 {
        f64::from(self.tasks) * self.work_ms
    }
}

/// Size of a fleet, the speeds of its targets in percent, and the seed of its load.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub entries: usize,
    pub sides: usize,
    pub speeds: &'static [u64],
    pub seed: u64,
}

/// Fleet of medium size.
pub const MIDDLE: Fleet = Fleet {
    entries: 12,
    sides: 69,
    speeds: &[100],
    seed: 1,
};

/// Large fleet.
pub const LARGE: Fleet = Fleet {
    entries: 55,
    sides: 240,
    speeds: &[100],
    seed: 1,
};

/// Submitted job.
#[derive(Clone, Copy, Debug)]
pub struct Submitted {
    pub id: JobId,
    pub kind: usize,
    pub tasks: u16,
    pub entry: usize,
    pub at: Duration,
    /// Time after the submission within which an answer is in time.
    pub objective: Duration,
}

/// Fleet under load in virtual time.
pub struct Simulation {
    pub system: JobSystem,
    pub fleet: Fleet,
    pub jobs: Vec<Submitted>,
    /// Number of refusals in [`Simulation::watch`], by the milliseconds for which some target had had capacity for a
    /// task. The last element counts all refusals after longer times.
    pub refused_with_capacity: [u64; 12],
    rng: StdRng,
    now: Duration,
}

impl Simulation {
    /// Returns a fleet with the default settings for scarce capacity.
    pub fn new(fleet: Fleet) -> Self {
        Self::with_scarcity(fleet, ScarcitySettings::default())
    }

    /// Returns a fleet with the given settings for scarce capacity.
    pub fn with_scarcity(fleet: Fleet, scarcity: ScarcitySettings) -> Self {
        let settings = JobSystemSettings {
            entries: fleet.entries,
            sides: fleet.sides,
            cpu_millis: TARGET_CPU,
            entry_link: None,
            active_links: None,
            seed: fleet.seed,
        };
        let mut system = JobSystem::with_scarcity(settings, scarcity);
        system.set_speeds(fleet.speeds);
        for kind in KINDS {
            system.set_priority(kind.queue, kind.priority);
        }
        Self {
            system,
            fleet,
            jobs: Vec::new(),
            refused_with_capacity: [0; 12],
            rng: StdRng::seed_from_u64(fleet.seed),
            now: Duration::ZERO,
        }
    }

    /// Submits jobs of all kinds at `times` the usual load and distributes them over the entries by weight.
    pub fn submit(
        &mut self,
        from: Duration,
        until: Duration,
        times: f64,
        weight: impl Fn(usize) -> f64,
    ) {
        for kind in 0..KINDS.len() {
            self.submit_kind(kind, from, until, times, &weight);
        }
    }

    /// Submits jobs of one kind at `times` its usual load and distributes them over the entries by weight.
    pub fn submit_kind(
        &mut self,
        kind: usize,
        from: Duration,
        until: Duration,
        times: f64,
        weight: &impl Fn(usize) -> f64,
    ) {
        self.submit_sizes(kind, &[KINDS[kind].tasks], from, until, times, weight);
    }

    /// Submits jobs of one kind whose numbers of tasks are taken from `sizes` in turn. The mean of `sizes` must be the
    /// kind's usual number of tasks, so that the load stays the same.
    pub fn submit_sizes(
        &mut self,
        kind: usize,
        sizes: &[u16],
        from: Duration,
        until: Duration,
        times: f64,
        weight: &impl Fn(usize) -> f64,
    ) {
        let entries = self.fleet.entries;
        let total_weight: f64 = (0..entries).map(weight).sum();
        // With a weight of 1 at every entry the load is the usual one.
        let per_s =
            times * USUAL * self.max_running_tasks() * KINDS[kind].jobs / mix_work() * 1_000.0;
        let per_s = per_s * total_weight / entries as f64;
        let count = (per_s * (until - from).as_secs_f64()).round() as usize;
        for submitted in 0..count {
            let at = from + (until - from).mul_f64(self.rng.random_range(0.0..1.0));
            let entry = self.pick_entry(total_weight, weight);
            let tasks = sizes[submitted % sizes.len()];
            self.submit_sized(kind, at, entry, tasks);
        }
    }

    /// Submits one job with its kind's usual number of tasks.
    pub fn submit_one(&mut self, kind: usize, at: Duration, entry: usize) -> JobId {
        self.submit_sized(kind, at, entry, KINDS[kind].tasks)
    }

    /// Submits one job with the given number of tasks.
    pub fn submit_sized(&mut self, kind: usize, at: Duration, entry: usize, tasks: u16) -> JobId {
        let spec = KINDS[kind];
        let work_ms = spec.work_ms * self.random_factor(WORK_SPREAD);
        let work = Duration::from_micros((work_ms * 1_000.0) as u64);
        let estimate = work.mul_f64(self.random_factor(ESTIMATE_SPREAD));
        let id = self.system.submit_to(spec.queue, at, entry, tasks, work);
        self.system.set_estimate(id, estimate);
        self.jobs.push(Submitted {
            id,
            kind,
            tasks,
            entry,
            at,
            objective: work.mul_f64(1.6) + Duration::from_millis(60),
        });
        id
    }

    /// Returns the number of tasks that the targets run at once, in tasks at a speed of 100 percent.
    fn max_running_tasks(&self) -> f64 {
        let speeds = self.fleet.speeds;
        let mean = speeds.iter().sum::<u64>() as f64 / speeds.len() as f64 / 100.0;
        self.fleet.sides as f64 * TASKS_PER_TARGET * mean
    }

    /// Returns a random factor between `1 / factor` and `factor`.
    fn random_factor(&mut self, factor: f64) -> f64 {
        factor.powf(self.rng.random_range(-1.0..1.0))
    }

    /// Returns a random entry, drawn by weight; `total_weight` is the sum of all weights.
    fn pick_entry(&mut self, total_weight: f64, weight: &impl Fn(usize) -> f64) -> usize {
        let mut left = self.rng.random_range(0.0..total_weight);
        let entries = 0..self.fleet.entries;
        let found = entries.clone().find(|entry| {
            left -= weight(*entry);
            left < 0.0
        });
        found.unwrap_or_default()
    }

    /// Runs until the given time and returns the mean share of the targets' capacity that was free, counted in whole
    /// tasks.
    pub fn run(&mut self, until: Duration) -> f64 {
        let mut empty = 0.0;
        let mut samples = 0.0;
        let mut at = self.now;
        while at < until {
            at = (at + SAMPLE_INTERVAL).min(until);
            self.system.run_until(at);
            let free = self.system.free_cpu().into_iter();
            let tasks: u32 = free.map(|cpu| cpu / TASK_CPU).sum();
            empty += f64::from(tasks) / (self.fleet.sides as f64 * TASKS_PER_TARGET);
            samples += 1.0;
        }
        self.now = until;
        empty / f64::max(samples, 1.0)
    }

    /// Runs until the given time and records for each refused job how long a target had had capacity for a task.
    pub fn watch(&mut self, until: Duration) {
        let mut ms_with_capacity = vec![0; self.fleet.sides];
        let mut refused = self.counted(|counters| counters.jobs_refused);
        while self.now < until {
            self.now = (self.now + Duration::from_millis(1)).min(until);
            self.system.run_until(self.now);
            for (ms, free) in ms_with_capacity.iter_mut().zip(self.system.free_cpu()) {
                *ms = if free >= TASK_CPU { *ms + 1 } else { 0 };
            }
            let now_refused = self.counted(|counters| counters.jobs_refused);
            let longest = ms_with_capacity.iter().max().copied().unwrap_or_default();
            self.refused_with_capacity[longest.min(11)] += now_refused - refused;
            refused = now_refused;
        }
    }

    /// Returns the last answer that a job's caller received.
    pub fn answer(&self, job: &Submitted) -> Option<GivenAnswer> {
        self.system.audit().answers_to(job.id).last().copied()
    }

    /// Returns whether a job was completed within its latency objective.
    pub fn is_in_time(&self, job: &Submitted) -> bool {
        self.answer(job).is_some_and(|given| {
            given.answer == JobAnswer::Completed && given.after <= job.objective
        })
    }

    /// Returns the share of the selected jobs that were completed in time.
    pub fn in_time(&self, is_wanted: impl Fn(&Submitted) -> bool) -> f64 {
        let wanted: Vec<&Submitted> = self.jobs.iter().filter(|job| is_wanted(job)).collect();
        let in_time = wanted.iter().filter(|job| self.is_in_time(job)).count();
        in_time as f64 / wanted.len().max(1) as f64
    }

    /// Returns the share of all jobs whose last answer is selected.
    pub fn answered(&self, is_wanted: impl Fn(&JobAnswer) -> bool) -> f64 {
        let answers = self.jobs.iter().filter_map(|job| self.answer(job));
        let wanted = answers.filter(|given| is_wanted(&given.answer)).count();
        wanted as f64 / self.jobs.len().max(1) as f64
    }

    /// Returns the sum of a counter over all entries.
    pub fn counted(&self, of: impl Fn(&SchedulerCounters) -> u64) -> u64 {
        self.system.counters().iter().map(of).sum()
    }

    /// Returns the percentage of starts that sides rejected for lack of capacity.
    pub fn turned_away(&self) -> f64 {
        let starts = self.counted(|counters| counters.starts);
        let away = self.counted(|counters| counters.starts_without_room);
        100.0 * away as f64 / starts.max(1) as f64
    }

    /// Returns the number of messages between entries and sides per successful run.
    pub fn messages_per_run(&self, from: Duration, until: Duration) -> f64 {
        let messages = self.system.link_record().messages(from, until);
        messages as f64 / self.counted(|counters| counters.runs_done).max(1) as f64
    }

    /// Returns a line on the answers that callers received, for tests that print it.
    pub fn summary(&self) -> String {
        let kinds = [0, 1, 2].map(|kind| self.in_time(|job| job.kind == kind));
        let refused = self.answered(|answer| matches!(answer, JobAnswer::Refused { .. }));
        let timed_out = self.answered(|answer| matches!(answer, JobAnswer::TimedOut));
        let away = self.turned_away();
        format!(
            "in time {kinds:.3?}, refused {refused:.3}, timed out {timed_out:.3}, turned away {away:.1} of 100"
        )
    }
}

/// Returns the work of 843.5 jobs of all kinds, in milliseconds of a task.
fn mix_work() -> f64 {
    KINDS.iter().map(|kind| kind.jobs * kind.work()).sum()
}
