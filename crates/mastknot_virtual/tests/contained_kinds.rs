//! Guards against a kind of task that crashes the targets on which it starts: one in ten jobs of one queue.
//!
//! While such jobs came, nearly all jobs of all queues were refused. Each bad job crashed two targets before it was
//! detected, each target was down for seconds, and more bad jobs came in that time than there were targets. Knowledge
//! of one job was not applied to the next job of its queue, and every target took the tasks of every queue.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId};
use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings, TaskCrash};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Processor time of a target, in thousandths of a processor: enough for ten tasks of the virtual system.
const TARGET_CPU: u32 = 16_000;
/// Time by which the links are established, in milliseconds.
const SETTLED_MS: u64 = 1_000;
/// One in this many jobs of a bad queue crashes targets.
const BAD_ONE_IN: usize = 10;
const CRASH: TaskCrash = TaskCrash {
    tasks: 1,
    after: Duration::from_millis(10),
    downtime: Duration::from_millis(3_300),
    is_silent: false,
};
/// Share of completed jobs from which a queue counts as served in a window.
const WELL_SERVED: f64 = 0.95;
/// Length of a window of the audit, in milliseconds.
const WINDOW_MS: u64 = 2_000;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Jobs of a queue: number of tasks per job, work of a task, and jobs per second and target.
#[derive(Clone, Copy, Debug)]
struct Queue {
    name: &'static str,
    tasks: u16,
    work_ms: u64,
    per_target_s: f64,
}

/// Queues with short wide jobs, long jobs and narrow jobs: together seven tenths of what the targets can run.
const QUEUES: [Queue; 3] = [
    Queue {
        name: "short",
        tasks: 8,
        work_ms: 60,
        per_target_s: 3.1,
    },
    Queue {
        name: "long",
        tasks: 4,
        work_ms: 900,
        per_target_s: 0.57,
    },
    Queue {
        name: "narrow",
        tasks: 2,
        work_ms: 200,
        per_target_s: 9.1,
    },
];

#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    sides: usize,
}

const SMALL: Fleet = Fleet {
    entries: 4,
    sides: 11,
};

const LARGE: Fleet = Fleet {
    entries: 55,
    sides: 240,
};

/// Period of time, without its end.
#[derive(Clone, Copy, Debug)]
struct Span {
    from_ms: u64,
    until_ms: u64,
}

impl Span {
    fn contains(&self, ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&ms)
    }
}

struct Simulation {
    system: JobSystem,
    /// Healthy jobs with their queue and the time of their submission, in milliseconds.
    healthy: Vec<(usize, u64, JobId)>,
    bad: Vec<JobId>,
}

/// Prepares a load until `end_ms` in which one in ten jobs of the queues in `bad` crashes targets during the span.
fn simulate(seed: u64, fleet: Fleet, end_ms: u64, bad: &[usize], span: Span) -> Simulation {
    let mut system = JobSystem::new(JobSystemSettings {
        entries: fleet.entries,
        sides: fleet.sides,
        cpu_millis: TARGET_CPU,
        entry_link: None,
        active_links: None,
        seed,
    });
    let mut rng = StdRng::seed_from_u64(seed);
    let mut jobs = (Vec::new(), Vec::new());
    for (place, queue) in QUEUES.iter().enumerate() {
        let per_s = queue.per_target_s * fleet.sides as f64;
        let count = (per_s * (end_ms - SETTLED_MS) as f64 / 1_000.0) as u64;
        for number in 0..count {
            let at =
                SETTLED_MS + (number as f64 * 1_000.0 / per_s) as u64 + rng.random_range(0..20);
            let entry = rng.random_range(0..fleet.entries);
            let job = system.submit_to(
                queue.name,
                millis(at),
                entry,
                queue.tasks,
                millis(queue.work_ms),
            );
            let is_bad = bad.contains(&place) && span.contains(at);
            if is_bad && rng.random_range(0..BAD_ONE_IN) == 0 {
                system.make_tasks_crash_targets(job, CRASH);
                jobs.1.push(job);
            } else {
                jobs.0.push((place, at, job));
            }
        }
    }
    let (healthy, bad) = jobs;
    Simulation {
        system,
        healthy,
        bad,
    }
}

impl Simulation {
    /// Returns the share of completed jobs among the healthy jobs of these queues, for each window of the period.
    fn shares(&self, queues: &[usize], from_ms: u64, until_ms: u64) -> Vec<f64> {
        let windows = (from_ms..until_ms).step_by(WINDOW_MS as usize);
        let shares = windows.map(|begin| {
            let span = Span {
                from_ms: begin,
                until_ms: begin + WINDOW_MS,
            };
            let jobs = self.healthy.iter();
            let jobs = jobs.filter(|(queue, at, _)| queues.contains(queue) && span.contains(*at));
            let jobs: Vec<JobId> = jobs.map(|(_, _, job)| *job).collect();
            self.system.audit().completed(&jobs) as f64 / jobs.len().max(1) as f64
        });
        shares.collect()
    }
}

fn min_share(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(1.0, f64::min)
}

const BAD_SPAN: Span = Span {
    from_ms: 4_000,
    until_ms: 14_000,
};
const END_MS: u64 = 22_000;

#[test]
fn queues_that_crash_nothing_are_served_beside_one_that_does() {
    for seed in 0..5 {
        let mut simulation = simulate(seed, SMALL, END_MS, &[0], BAD_SPAN);
        simulation.system.run_until(millis(END_MS + 4_000));
        assert_eq!(simulation.system.violations(), [], "seed {seed}");
        let others = simulation.shares(&[1, 2], 4_000, END_MS);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.2?}"
        );
    }
}

#[test]
fn the_same_holds_on_a_large_fleet() {
    let span = Span {
        from_ms: 3_000,
        until_ms: 9_000,
    };
    let mut simulation = simulate(1, LARGE, 9_000, &[0], span);
    simulation.system.run_until(millis(12_000));
    assert_eq!(simulation.system.violations(), []);
    let others = simulation.shares(&[1, 2], 3_000, 9_000);
    assert!(min_share(&others) >= WELL_SERVED, "{others:.2?}");
}

/// A kind is released and may use all targets again once its tasks have proved to be healthy.
#[test]
fn a_kind_that_is_healthy_again_is_released() {
    for seed in 0..5 {
        let mut simulation = simulate(seed, SMALL, END_MS, &[0], BAD_SPAN);
        simulation.system.run_until(millis(END_MS + 4_000));
        let after = simulation.shares(&[0], 19_000, END_MS);
        assert!(min_share(&after) >= WELL_SERVED, "seed {seed}: {after:.2?}");
    }
}

#[test]
fn two_kinds_that_crash_targets_leave_the_third_its_own() {
    for seed in 0..5 {
        let mut simulation = simulate(seed, SMALL, END_MS, &[0, 2], BAD_SPAN);
        simulation.system.run_until(millis(END_MS + 4_000));
        assert_eq!(simulation.system.violations(), [], "seed {seed}");
        let others = simulation.shares(&[1], 4_000, END_MS);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.2?}"
        );
    }
}

/// Kills all processes while a queue crashes targets. Returns the shares of completed jobs among the healthy jobs of
/// the other queues from 10 s on.
fn shares_after_a_restart_of_all(seed: u64, bad: usize) -> Vec<f64> {
    let mut simulation = simulate(seed, SMALL, END_MS, &[bad], BAD_SPAN);
    let at = millis(8_500);
    let downtime = millis(300);
    for entry in 0..SMALL.entries {
        let fault = JobFault::KillEntry { entry, downtime };
        simulation.system.plan(JobFaultPlan { at, fault });
    }
    for side in 0..SMALL.sides {
        let fault = JobFault::KillSide { side, downtime };
        simulation.system.plan(JobFaultPlan { at, fault });
    }
    simulation.system.run_until(millis(END_MS + 4_000));
    assert_eq!(simulation.system.violations(), [], "seed {seed}");
    let others: Vec<usize> = (0..QUEUES.len()).filter(|queue| *queue != bad).collect();
    simulation.shares(&others, 10_000, END_MS)
}

/// A restart of all processes loses the knowledge of contained kinds; the kind must be detected again.
#[test]
fn a_restart_of_all_processes_finds_the_kind_again() {
    for seed in 0..5 {
        let others = shares_after_a_restart_of_all(seed, 0);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.2?}"
        );
    }
}

/// Guards against refusing callers that return together after a restart while long jobs that could have waited hold
/// the capacity.
#[test]
fn callers_that_come_back_after_a_restart_are_served() {
    for seed in [22, 23, 40, 45, 51, 56, 57, 58] {
        let others = shares_after_a_restart_of_all(seed, 0);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.3?}"
        );
    }
}

/// Guards against refusing returning callers beside a kind that contains half of the targets, where the remaining
/// capacity is scarce for longer.
#[test]
fn callers_that_come_back_are_served_beside_a_kind_with_half_of_the_targets() {
    for seed in 0..8 {
        let others = shares_after_a_restart_of_all(seed, 2);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.3?}"
        );
    }
}

/// Returns the shares of completed jobs among the healthy jobs of the other queues while a queue crashes targets and
/// after that.
fn shares_of_other_queues(seed: u64, bad: usize) -> Vec<f64> {
    let mut simulation = simulate(seed, SMALL, END_MS, &[bad], BAD_SPAN);
    simulation.system.run_until(millis(END_MS + 4_000));
    assert_eq!(simulation.system.violations(), [], "seed {seed}");
    let others: Vec<usize> = (0..QUEUES.len()).filter(|queue| *queue != bad).collect();
    simulation.shares(&others, BAD_SPAN.from_ms, END_MS)
}

/// Guards against an entry that releases a kind while its tasks still crash targets: the kind then crashes targets that
/// other entries keep for healthy jobs.
#[test]
fn others_are_served_while_a_kind_keeps_crashing_targets() {
    let narrow = [
        4, 314, 330, 336, 338, 357, 399, 440, 443, 454, 482, 504, 505, 551,
    ];
    let short = [141, 223, 240, 539, 555, 568, 593];
    let narrow = narrow.map(|seed| (seed, 2));
    let short = short.map(|seed| (seed, 0));
    for (seed, bad) in narrow.into_iter().chain(short) {
        let others = shares_of_other_queues(seed, bad);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.3?}"
        );
    }
}

/// Guards against containing a healthy kind in place of the one that crashes targets: almost none of its jobs were
/// served for seconds.
#[test]
fn a_healthy_kind_is_not_contained_beside_one_that_crashes_targets() {
    for seed in [34, 185, 229, 249] {
        let others = shares_of_other_queues(seed, 2);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.3?}"
        );
    }
}

/// Guards against a contained kind that gets other reserved sides after a restart than before, while targets that it
/// had crashed are still down.
#[test]
fn others_are_served_after_a_restart_beside_a_kind_with_half_of_the_targets() {
    for seed in [8, 34, 50, 52, 75, 87, 145, 148, 185, 189, 198] {
        let others = shares_after_a_restart_of_all(seed, 2);
        assert!(
            min_share(&others) >= WELL_SERVED,
            "seed {seed}: {others:.3?}"
        );
    }
}

/// Crashes that no task causes must not lead to the containment of a kind.
#[test]
fn random_crashes_contain_no_kind() {
    for seed in 0..200 {
        let mut simulation = simulate(seed, SMALL, 15_000, &[], BAD_SPAN);
        let mut rng = StdRng::seed_from_u64(seed);
        for _ in 0..rng.random_range(2..9) {
            let at = millis(rng.random_range(1_500..15_000));
            let count = [1, 1, 1, 3, 4][rng.random_range(0..5)];
            let first = rng.random_range(0..SMALL.sides);
            let downtime = millis(rng.random_range(300..4_000));
            let is_silent = rng.random_bool(0.3);
            for side in first..(first + count).min(SMALL.sides) {
                let fault = JobFault::CrashTarget {
                    side,
                    downtime,
                    is_silent,
                };
                simulation.system.plan(JobFaultPlan { at, fault });
            }
        }
        simulation.system.run_until(millis(18_000));
        assert_eq!(simulation.system.kinds_contained(), 0, "seed {seed}");
    }
}

/// No caller of a job that crashes targets receives a completed answer.
#[test]
fn bad_jobs_are_not_completed() {
    let mut simulation = simulate(1, SMALL, END_MS, &[0], BAD_SPAN);
    simulation.system.run_until(millis(END_MS + 4_000));
    assert!(!simulation.bad.is_empty());
    for job in &simulation.bad {
        let answers = simulation.system.audit().answers_to(*job);
        let is_completed =
            |given: &mastknot_virtual::GivenAnswer| given.answer == JobAnswer::Completed;
        assert!(!answers.iter().any(is_completed));
    }
}
