//! Jobs beyond what the targets can run: which of them are served, how soon the others are refused, and the recovery.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId};
use mastknot_virtual::{GivenAnswer, JobSystem, JobSystemSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 3;
const SIDES: usize = 4;
/// Processor time of a target, in thousandths of a processor: enough for ten tasks of the virtual system.
const TARGET_CPU: u32 = 16_000;
/// Number of tasks that all targets run at once.
const SLOTS: u64 = 10 * SIDES as u64;
/// Duration of an overload, in milliseconds.
const LOADED_MS: u64 = 6_000;

/// Kind of job: number of tasks, and work of each in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Kind {
    tasks: u16,
    work_ms: u64,
}

const KINDS: [Kind; 3] = [
    Kind {
        tasks: 8,
        work_ms: 60,
    },
    Kind {
        tasks: 2,
        work_ms: 200,
    },
    Kind {
        tasks: 3,
        work_ms: 900,
    },
];

impl Kind {
    /// Returns the latency objective of the virtual system's queue.
    fn objective(self) -> Duration {
        Duration::from_millis(self.work_ms).mul_f64(1.6) + Duration::from_millis(60)
    }

    /// Returns the work of all tasks of a job, in milliseconds of a slot.
    fn slot_ms(self) -> u64 {
        u64::from(self.tasks) * self.work_ms
    }
}

struct Submitted {
    id: JobId,
    kind: Kind,
    at: u64,
}

fn system(seed: u64) -> JobSystem {
    JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: TARGET_CPU,
        entry_link: None,
        active_links: None,
        seed,
    })
}

/// Submits jobs of all kinds at random times, at `load` times what the targets can run.
fn submit_load(
    system: &mut JobSystem,
    rng: &mut StdRng,
    from: u64,
    until: u64,
    load: f64,
) -> Vec<Submitted> {
    let mean_slot_ms = KINDS.iter().map(|kind| kind.slot_ms()).sum::<u64>() as f64 / 3.0;
    let per_ms = load * SLOTS as f64 / mean_slot_ms;
    let count = ((until - from) as f64 * per_ms) as usize;
    let mut submitted = Vec::new();
    for number in 0..count {
        let kind = KINDS[number % KINDS.len()];
        let at = rng.random_range(from..until);
        let entry = rng.random_range(0..ENTRIES);
        let work = Duration::from_millis(kind.work_ms);
        let id = system.submit(Duration::from_millis(at), entry, kind.tasks, work);
        submitted.push(Submitted { id, kind, at });
    }
    submitted
}

fn first_answer(system: &JobSystem, job: &Submitted) -> GivenAnswer {
    let answers = system.audit().answers_to(job.id);
    *answers.first().expect("each caller is answered")
}

fn is_in_time(system: &JobSystem, job: &Submitted) -> bool {
    let given = first_answer(system, job);
    given.answer == JobAnswer::Completed && given.after <= job.kind.objective()
}

/// Time by which the links are established, in milliseconds.
const SETTLED_MS: u64 = 1_000;

fn play(seed: u64, load: f64) -> (JobSystem, Vec<Submitted>) {
    let mut system = system(seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let until = SETTLED_MS + LOADED_MS;
    let jobs = submit_load(&mut system, &mut rng, SETTLED_MS, until, load);
    system.run_until(Duration::from_millis(until + 10_000));
    assert_eq!(system.violations(), [], "seed {seed}, load {load}");
    assert_eq!(
        system.held_jobs_and_runs(),
        (0, 0),
        "seed {seed}, load {load}"
    );
    (system, jobs)
}

const LOADS: [f64; 5] = [0.5, 1.0, 1.5, 2.5, 4.0];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Tolerance for the round trip of a caller and for the timers.
const SLACK: Duration = Duration::from_millis(5);

#[test]
fn refusals_come_within_a_quarter_of_the_objective_and_timeouts_within_three_objectives() {
    for (seed, load) in SEEDS
        .into_iter()
        .flat_map(|seed| LOADS.map(|load| (seed, load)))
    {
        let (system, jobs) = play(seed, load);
        for job in &jobs {
            let given = first_answer(&system, job);
            let limit = match given.answer {
                JobAnswer::Refused { .. } => job.kind.objective() / 4,
                JobAnswer::TimedOut => job.kind.objective() * 3,
                JobAnswer::Completed | JobAnswer::Failed { .. } => continue,
            };
            assert!(
                given.after <= limit + SLACK,
                "seed {seed}, load {load}: {:?} {given:?}",
                job.kind
            );
        }
    }
}

#[test]
fn what_the_targets_can_run_is_served_in_time_at_any_load() {
    for (seed, load) in SEEDS
        .into_iter()
        .flat_map(|seed| LOADS.map(|load| (seed, load)))
    {
        let (system, jobs) = play(seed, load);
        let served = jobs.iter().filter(|job| is_in_time(&system, job));
        let served: u64 = served.map(|job| job.kind.slot_ms()).sum();
        let offered: u64 = jobs.iter().map(|job| job.kind.slot_ms()).sum();
        let feasible = (SLOTS * LOADED_MS).min(offered);
        let share = served as f64 / feasible as f64;
        assert!(share >= 0.8, "seed {seed}, load {load}: {share:.3}");
    }
}

#[test]
fn neither_wide_nor_long_jobs_starve() {
    for seed in SEEDS {
        let (system, jobs) = play(seed, 2.5);
        for kind in KINDS {
            let of_kind: Vec<&Submitted> = jobs.iter().filter(|job| job.kind == kind).collect();
            let served = of_kind
                .iter()
                .filter(|job| is_in_time(&system, job))
                .count();
            let share = served as f64 / of_kind.len() as f64;
            assert!(share >= 0.15, "seed {seed}, {kind:?}: {share:.3}");
        }
    }
}

#[test]
fn a_second_after_a_burst_all_jobs_are_in_time() {
    for seed in SEEDS {
        let mut system = system(seed);
        let mut rng = StdRng::seed_from_u64(seed);
        let burst_ends = SETTLED_MS + 4_000;
        submit_load(&mut system, &mut rng, SETTLED_MS, burst_ends, 3.0);
        let usual = submit_load(&mut system, &mut rng, SETTLED_MS, burst_ends + 4_000, 0.5);
        system.run_until(Duration::from_millis(burst_ends + 14_000));
        let after = usual.iter().filter(|job| job.at >= burst_ends + 1_000);
        let after: Vec<&Submitted> = after.collect();
        let in_time = after.iter().filter(|job| is_in_time(&system, job)).count();
        assert_eq!(in_time, after.len(), "seed {seed}");
    }
}
