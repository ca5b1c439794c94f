//! Guards against tasks that crash the targets on which they start.
//!
//! In a fleet of eleven targets, one task crashed nine within 160 ms. Most jobs were refused for the three seconds
//! until the targets were back, and then it began again. The task crashed its target 10 ms after the start. Its entry
//! was informed that the run was lost, as for an expired lease, and started the task at once on a target where it had
//! not failed yet, until no target or no time was left. The end of a run did not report that the target had crashed,
//! and ends without information on the task were not counted, however often they came.

use std::time::Duration;

use mastknot_core::job::{FailureCause, JobAnswer, JobId, TaskRef};
use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings, TaskCrash};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 4;
const SIDES: usize = 11;
/// Processor time of a target, in thousandths of a processor: enough for ten tasks of the virtual system.
const TARGET_CPU: u32 = 16_000;
/// Time by which the links are established, in milliseconds.
const SETTLED_MS: u64 = 1_000;
/// Number of jobs of the usual kinds. One every 20 ms is 54 percent of what the targets can run.
const USUAL_JOBS: u64 = 740;
const BETWEEN_JOBS_MS: u64 = 20;
/// Time by which the last caller has its answer.
const END: Duration = Duration::from_secs(25);

/// Number of random histories without crashing tasks.
const HISTORIES: u64 = 200;

const CRASH: TaskCrash = TaskCrash {
    tasks: 2,
    after: Duration::from_millis(10),
    downtime: Duration::from_secs(3),
    is_silent: false,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a fleet at about half load, and its jobs.
fn fleet(seed: u64) -> (JobSystem, Vec<JobId>) {
    let mut system = JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: TARGET_CPU,
        entry_link: None,
        active_links: None,
        seed,
    });
    let jobs = (0..USUAL_JOBS).map(|number| {
        let (tasks, work) = match number % 3 {
            0 => (8, 60),
            1 => (2, 200),
            _ => (3, 900),
        };
        let at = millis(SETTLED_MS + number * BETWEEN_JOBS_MS);
        let entry = number as usize % ENTRIES;
        system.submit(at, entry, tasks, millis(work))
    });
    let jobs = jobs.collect();
    (system, jobs)
}

/// Submits `count` jobs of crashing tasks, 2.5 seconds apart.
fn submit_crashing(system: &mut JobSystem, count: u64, crash: TaskCrash) -> Vec<JobId> {
    let jobs = (0..count).map(|number| {
        let at = millis(5_003 + 2_500 * number);
        let entry = number as usize % ENTRIES;
        system.submit_crashing(at, entry, crash.tasks, millis(200), crash)
    });
    jobs.collect()
}

fn task(job: JobId, index: u16) -> TaskRef {
    TaskRef {
        job,
        step: 0,
        index,
    }
}

/// Returns the number of targets that each task of these jobs has crashed.
fn crashed_by(system: &JobSystem, jobs: &[JobId]) -> Vec<u32> {
    let tasks = jobs
        .iter()
        .flat_map(|job| (0..CRASH.tasks).map(|index| task(*job, index)));
    tasks
        .map(|task| system.audit().crashed_targets(task))
        .collect()
}

#[test]
fn a_task_that_crashes_each_target_is_not_started_on_all_of_them() {
    for seed in 0..20 {
        let (mut system, _) = fleet(seed);
        let crashing = submit_crashing(&mut system, 1, CRASH);
        system.run_until(END);
        assert_eq!(system.violations(), [], "seed {seed}");
        let crashed = system.audit().crashed_targets(task(crashing[0], 0));
        assert!(crashed <= 3, "seed {seed}: {crashed} targets");
    }
}

/// Guards against the loss of other jobs to one job of crashing tasks. While crashes were not counted, 95 to 198 of the
/// 740 other jobs were not completed and 8 to 18 targets crashed; with the count, none and three.
#[test]
fn one_job_of_crashing_tasks_prevents_no_other_job() {
    for (seed, after) in (0..5).flat_map(|seed| [2, 10, 60].map(|after| (seed, after))) {
        let (mut system, jobs) = fleet(seed);
        let after = millis(after);
        let crashing = submit_crashing(&mut system, 1, TaskCrash { after, ..CRASH });
        system.run_until(END);
        assert_eq!(system.violations(), [], "seed {seed}, after {after:?}");
        let completed = system.audit().completed(&jobs);
        assert_eq!(completed, jobs.len(), "seed {seed}, after {after:?}");
        let crashed = crashed_by(&system, &crashing);
        assert!(
            crashed.iter().all(|crashed| *crashed <= 2),
            "seed {seed}, after {after:?}: {crashed:?}"
        );
        let answers = system.audit().answers_to(crashing[0]);
        let cause = FailureCause::CrashesTargets;
        assert_eq!(answers.len(), 1, "seed {seed}, after {after:?}");
        assert_eq!(answers[0].answer, JobAnswer::Failed { cause });
    }
}

/// Guards against the loss of other jobs to four jobs of crashing tasks within ten seconds. Of the 740 other jobs, 438
/// to 545 were completed while crashes were not counted, and 717 to 730 with the count, as 12 targets are down for
/// three seconds each.
#[test]
fn four_jobs_of_crashing_tasks_prevent_few_others() {
    for seed in 0..10 {
        let (mut system, jobs) = fleet(seed);
        let crashing = submit_crashing(&mut system, 4, CRASH);
        system.run_until(END);
        assert_eq!(system.violations(), [], "seed {seed}");
        let completed = system.audit().completed(&jobs);
        assert!(completed >= 715, "seed {seed}: {completed} completed");
        let crashed = crashed_by(&system, &crashing);
        assert!(
            crashed.iter().all(|crashed| *crashed <= 2),
            "seed {seed}: {crashed:?}"
        );
    }
}

/// A crash late in a run, or one that the side does not notice at once, is weaker evidence against a task. The number
/// of crashed targets is bounded all the same.
#[test]
fn late_or_silent_crashes_are_bounded() {
    for (seed, is_silent) in
        (0..5).flat_map(|seed| [false, true].map(|is_silent| (seed, is_silent)))
    {
        for after in [10, 150] {
            let (mut system, _) = fleet(seed);
            let crash = TaskCrash {
                after: millis(after),
                is_silent,
                ..CRASH
            };
            let crashing = submit_crashing(&mut system, 4, crash);
            system.run_until(END);
            let context = format!("seed {seed}, {crash:?}");
            assert_eq!(system.violations(), [], "{context}");
            let crashed = crashed_by(&system, &crashing);
            assert!(crashed.iter().all(|crashed| *crashed <= 5), "{context}");
        }
    }
}

/// Returns faults of an entry that counts crashes, of a side that knows of them, or of a link between the two.
fn additional_faults() -> Vec<JobFault> {
    let mut faults = Vec::new();
    for entry in 0..2 {
        let downtime = millis(250);
        let time = millis(900);
        faults.push(JobFault::KillEntry { entry, downtime });
        faults.push(JobFault::PauseEntry { entry, time });
    }
    for side in 0..SIDES {
        let downtime = millis(150);
        faults.push(JobFault::KillSide { side, downtime });
        faults.push(JobFault::ResetLink { entry: 0, side });
        faults.push(JobFault::SilenceLink { entry: 0, side });
    }
    faults
}

/// The job is submitted again to other entries, which learn from the sides which targets its tasks have crashed.
#[test]
fn the_crash_count_survives_the_entry_that_counts() {
    for (seed, fault) in additional_faults().into_iter().enumerate() {
        for delay in [5, 12, 20, 30, 45] {
            let (mut system, _) = fleet(seed as u64);
            let crashing = submit_crashing(&mut system, 1, CRASH);
            let at = millis(5_003 + delay);
            system.plan(JobFaultPlan { at, fault });
            system.run_until(END);
            let context = format!("{fault:?} after {delay} ms");
            assert_eq!(system.violations(), [], "{context}");
            assert_eq!(system.held_jobs_and_runs(), (0, 0), "{context}");
            let crashed = crashed_by(&system, &crashing);
            assert!(
                crashed.iter().all(|crashed| *crashed <= 3),
                "{context}: {crashed:?}"
            );
        }
    }
}

/// Plans crashes of single targets, of racks of three and of the four targets of a hall, each for some seconds and some
/// of them silent.
fn crash_at_random(system: &mut JobSystem, rng: &mut StdRng) {
    for _ in 0..rng.random_range(2..9) {
        let at = millis(rng.random_range(1_500..15_000));
        let count = [1, 1, 1, 3, 4][rng.random_range(0..5)];
        let first = rng.random_range(0..SIDES);
        let downtime = millis(rng.random_range(300..4_000));
        let is_silent = rng.random_bool(0.3);
        for side in first..(first + count).min(SIDES) {
            let fault = JobFault::CrashTarget {
                side,
                downtime,
                is_silent,
            };
            system.plan(JobFaultPlan { at, fault });
        }
    }
}

/// Guards against failing a job for crashes that its tasks did not cause.
#[test]
fn no_job_fails_because_its_targets_crashed() {
    let mut failed = Vec::new();
    for seed in 0..HISTORIES {
        let (mut system, _) = fleet(seed);
        crash_at_random(&mut system, &mut StdRng::seed_from_u64(seed));
        system.run_until(END);
        assert_eq!(system.violations(), [], "seed {seed}");
        let is_failed = |answer: &JobAnswer| matches!(answer, JobAnswer::Failed { .. });
        let count = system.audit().count(is_failed);
        if count > 0 {
            failed.push((seed, count));
        }
    }
    assert_eq!(failed, [], "seeds and jobs that failed");
}
