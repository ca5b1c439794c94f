//! Load of three kinds on a fleet in virtual time, and what its callers get.
#![allow(dead_code)]

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId};
use mastknot_core::scheduler::{ScarcitySettings, SchedulerCounters};
use mastknot_virtual::{GivenAnswer, JobSystem, JobSystemSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Nine tasks of the virtual system fill a target, and a part of one is left.
pub const TARGET_CPU: u32 = 15_000;
pub const TASKS_PER_TARGET: f64 = 9.0;
/// What a task takes.
const TASK_CPU: u32 = 1_600;
/// How often the room is looked at.
const LOOKED_AT_EACH: Duration = Duration::from_millis(7);
/// The usual load, against what the targets bear.
pub const USUAL: f64 = 0.54;
/// Links stand by then.
pub const SETTLED: Duration = Duration::from_secs(4);
/// The last job is answered within this.
pub const DRAINED: Duration = Duration::from_secs(6);
/// Guesses are off by up to this factor either way.
const GUESS_OFF: f64 = 1.6;
/// The work of tasks scatters by up to this factor either way.
const WORK_OFF: f64 = 1.7;

/// A kind of job, with a queue of its own.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub queue: &'static str,
    pub priority: u32,
    pub tasks: u16,
    pub work_ms: f64,
    /// Of 843 jobs.
    pub jobs: f64,
}

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
    /// The work of one job, in milliseconds of one task.
    fn work(&self) -> f64 {
        f64::from(self.tasks) * self.work_ms
    }
}

/// Entries and targets, and what the callers of each entry ask.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub entries: usize,
    pub sides: usize,
    pub speeds: &'static [u64],
    pub seed: u64,
}

pub const MIDDLE: Fleet = Fleet {
    entries: 12,
    sides: 69,
    speeds: &[100],
    seed: 1,
};

pub const LARGE: Fleet = Fleet {
    entries: 55,
    sides: 240,
    speeds: &[100],
    seed: 1,
};

/// A job that was handed in.
#[derive(Clone, Copy, Debug)]
pub struct Submitted {
    pub id: JobId,
    pub kind: usize,
    pub tasks: u16,
    pub entry: usize,
    pub at: Duration,
    /// It is in time within this.
    pub objective: Duration,
}

/// A fleet under load.
pub struct Play {
    pub system: JobSystem,
    pub fleet: Fleet,
    pub jobs: Vec<Submitted>,
    /// Of the refusals while the room was watched, how many came while a target stood with room for a task for this many
    /// milliseconds, at the place of that number; the last place has all that stood for longer.
    pub refused_with_room: [u64; 12],
    rng: StdRng,
    now: Duration,
}

impl Play {
    pub fn new(fleet: Fleet) -> Self {
        Self::with_scarcity(fleet, ScarcitySettings::default())
    }

    /// The same with other ways to decide on room that is short.
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
            refused_with_room: [0; 12],
            rng: StdRng::seed_from_u64(fleet.seed),
            now: Duration::ZERO,
        }
    }

    /// Hands in jobs of all kinds at `times` the usual load, at entries by their weights.
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

    /// The same for one kind.
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

    /// The same for one kind whose jobs have these numbers of tasks in turn, which are its own on the mean.
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
        let whole: f64 = (0..entries).map(weight).sum();
        // A weight of 1 at all entries is the usual load.
        let per_s = times * USUAL * self.bears() * KINDS[kind].jobs / mix_work() * 1_000.0;
        let per_s = per_s * whole / entries as f64;
        let count = (per_s * (until - from).as_secs_f64()).round() as usize;
        for submitted in 0..count {
            let at = from + (until - from).mul_f64(self.rng.random_range(0.0..1.0));
            let entry = self.pick_entry(whole, weight);
            let tasks = sizes[submitted % sizes.len()];
            self.submit_sized(kind, at, entry, tasks);
        }
    }

    /// Hands in one job.
    pub fn submit_one(&mut self, kind: usize, at: Duration, entry: usize) -> JobId {
        self.submit_sized(kind, at, entry, KINDS[kind].tasks)
    }

    /// The same with another number of tasks.
    pub fn submit_sized(&mut self, kind: usize, at: Duration, entry: usize, tasks: u16) -> JobId {
        let spec = KINDS[kind];
        let work_ms = spec.work_ms * self.off_by(WORK_OFF);
        let work = Duration::from_micros((work_ms * 1_000.0) as u64);
        let guess = work.mul_f64(self.off_by(GUESS_OFF));
        let id = self.system.submit_to(spec.queue, at, entry, tasks, work);
        self.system.set_estimate(id, guess);
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

    /// How many tasks of usual speed the targets run at once.
    fn bears(&self) -> f64 {
        let speeds = self.fleet.speeds;
        let mean = speeds.iter().sum::<u64>() as f64 / speeds.len() as f64 / 100.0;
        self.fleet.sides as f64 * TASKS_PER_TARGET * mean
    }

    fn off_by(&mut self, factor: f64) -> f64 {
        factor.powf(self.rng.random_range(-1.0..1.0))
    }

    fn pick_entry(&mut self, whole: f64, weight: &impl Fn(usize) -> f64) -> usize {
        let mut left = self.rng.random_range(0.0..whole);
        let entries = 0..self.fleet.entries;
        let found = entries.clone().find(|entry| {
            left -= weight(*entry);
            left < 0.0
        });
        found.unwrap_or_default()
    }

    /// Runs until a time; returns the share of the targets' room that stood empty on the mean, in whole tasks.
    pub fn run(&mut self, until: Duration) -> f64 {
        let mut empty = 0.0;
        let mut looks = 0.0;
        let mut at = self.now;
        while at < until {
            at = (at + LOOKED_AT_EACH).min(until);
            self.system.run_until(at);
            let free = self.system.free_cpu().into_iter();
            let tasks: u32 = free.map(|cpu| cpu / TASK_CPU).sum();
            empty += f64::from(tasks) / (self.fleet.sides as f64 * TASKS_PER_TARGET);
            looks += 1.0;
        }
        self.now = until;
        empty / f64::max(looks, 1.0)
    }

    /// Runs until a time and watches how long targets have had room for a task when a job is refused.
    pub fn watch(&mut self, until: Duration) {
        let mut had_room = vec![0; self.fleet.sides];
        let mut refused = self.counted(|counters| counters.jobs_refused);
        while self.now < until {
            self.now = (self.now + Duration::from_millis(1)).min(until);
            self.system.run_until(self.now);
            for (had, free) in had_room.iter_mut().zip(self.system.free_cpu()) {
                *had = if free >= TASK_CPU { *had + 1 } else { 0 };
            }
            let now_refused = self.counted(|counters| counters.jobs_refused);
            let longest = had_room.iter().max().copied().unwrap_or_default();
            self.refused_with_room[longest.min(11)] += now_refused - refused;
            refused = now_refused;
        }
    }

    /// What a caller was told last.
    pub fn answer(&self, job: &Submitted) -> Option<GivenAnswer> {
        self.system.audit().answers_to(job.id).last().copied()
    }

    pub fn is_in_time(&self, job: &Submitted) -> bool {
        self.answer(job).is_some_and(|given| {
            given.answer == JobAnswer::Completed && given.after <= job.objective
        })
    }

    /// The share in time of the jobs that are wanted.
    pub fn in_time(&self, is_wanted: impl Fn(&Submitted) -> bool) -> f64 {
        let wanted: Vec<&Submitted> = self.jobs.iter().filter(|job| is_wanted(job)).collect();
        let in_time = wanted.iter().filter(|job| self.is_in_time(job)).count();
        in_time as f64 / wanted.len().max(1) as f64
    }

    /// The share of jobs with an answer.
    pub fn answered(&self, is_wanted: impl Fn(&JobAnswer) -> bool) -> f64 {
        let answers = self.jobs.iter().filter_map(|job| self.answer(job));
        let wanted = answers.filter(|given| is_wanted(&given.answer)).count();
        wanted as f64 / self.jobs.len().max(1) as f64
    }

    /// All entries' counters together.
    pub fn counted(&self, of: impl Fn(&SchedulerCounters) -> u64) -> u64 {
        self.system.counters().iter().map(of).sum()
    }

    /// Of 100 starts, how many were turned away for want of room.
    pub fn turned_away(&self) -> f64 {
        let starts = self.counted(|counters| counters.starts);
        let away = self.counted(|counters| counters.starts_without_room);
        100.0 * away as f64 / starts.max(1) as f64
    }

    /// Messages between entries and sides for each run that did its work.
    pub fn messages_per_run(&self, from: Duration, until: Duration) -> f64 {
        let messages = self.system.link_record().messages(from, until);
        messages as f64 / self.counted(|counters| counters.runs_done).max(1) as f64
    }

    /// What the callers got, for a test that prints it.
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

/// The work of the mix, in milliseconds of one task.
fn mix_work() -> f64 {
    KINDS.iter().map(|kind| kind.jobs * kind.work()).sum()
}
