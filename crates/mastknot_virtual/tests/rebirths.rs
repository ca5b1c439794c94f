//! Targets that restart under the same names.
//!
//! A restarted target holds no runs and counts its reports, its ends and its clock from the beginning. A side that
//! distinguishes incarnations by name alone takes the new incarnation's reports for late ones of the old one, so that
//! the target stays idle for as long as the old incarnation ran. It also drops the first ends of runs and asks for
//! holds by a clock that is far ahead.

use std::time::Duration;

use mastknot_core::job::JobAnswer;
use mastknot_virtual::{Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 2;
const SIDES: usize = 3;
const TARGET_CPU: u32 = 16_000;
/// Number of histories that CI runs; `MASTKNOT_HISTORIES` sets another number.
const CI_HISTORIES: u64 = 300;
/// Time between two jobs, in milliseconds, at which the load is half of what the targets can run.
const BETWEEN_JOBS_MS: u64 = 80;
/// Longest hold that a platform may allow.
const LONG_HOLD: Duration = Duration::from_secs(15);

fn histories() -> u64 {
    let requested_count = std::env::var("MASTKNOT_HISTORIES").ok();
    let requested_count = requested_count.and_then(|text| text.parse().ok());
    requested_count.unwrap_or(CI_HISTORIES)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
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

/// Submits jobs of three lengths to both entries in turn and returns their number.
fn load(system: &mut JobSystem, from: u64, until: u64) -> usize {
    let times = (from..until).step_by(BETWEEN_JOBS_MS as usize);
    let jobs = times.enumerate().map(|(count, at)| {
        let (tasks, work) = match count % 3 {
            0 => (8, 60),
            1 => (2, 200),
            _ => (3, 900),
        };
        system.submit(millis(at), count % ENTRIES, tasks, millis(work))
    });
    jobs.count()
}

fn crash(side: usize, at: u64, downtime: u64, is_silent: bool) -> JobFaultPlan {
    JobFaultPlan {
        at: millis(at),
        fault: JobFault::CrashTarget {
            side,
            downtime: millis(downtime),
            is_silent,
        },
    }
}

/// Returns a random fault beside a target's restart: the side is partitioned, paused or restarted, reports are delayed,
/// or an entry is killed.
fn fault_near_restart(rng: &mut StdRng, side: usize) -> JobFault {
    let entry = rng.random_range(0..ENTRIES);
    let time = millis(rng.random_range(20..3_000));
    match rng.random_range(0..6) {
        0 => JobFault::KillSide {
            side,
            downtime: time,
        },
        1 => JobFault::PauseSide { side, time },
        2 => JobFault::DelayReports { side, time },
        3 => JobFault::KillEntry {
            entry,
            downtime: time,
        },
        4 => JobFault::SuspendSide { side, time },
        _ => JobFault::PartitionLink {
            entry,
            side,
            direction: Direction::Both,
            time,
        },
    }
}

/// Plays targets that crash and restart, some of them unnoticed within a heartbeat, beside other faults.
fn play(seed: u64, prepare: impl Fn(&mut JobSystem)) -> JobSystem {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut system = system(seed);
    prepare(&mut system);
    load(&mut system, 200, 8_000);
    for _ in 0..rng.random_range(2..7) {
        let side = rng.random_range(0..SIDES);
        let at = rng.random_range(300..7_000);
        let downtime = [2, 20, 300, 3_000][rng.random_range(0..4)];
        system.plan(crash(side, at, downtime, rng.random_bool(0.5)));
        if rng.random_bool(0.4) {
            let offset = rng.random_range(0..400);
            let at = millis((at + offset).saturating_sub(200));
            let fault = fault_near_restart(&mut rng, side);
            system.plan(JobFaultPlan { at, fault });
        }
    }
    system.run_until(millis(25_000));
    system
}

#[test]
fn targets_that_keep_their_names_break_nothing() {
    for seed in 0..histories() {
        let system = play(seed, JobSystem::keep_target_names);
        assert_eq!(system.violations(), [], "seed {seed}");
        assert_eq!(system.held_jobs_and_runs(), (0, 0), "seed {seed}");
    }
}

#[test]
fn long_holds_by_the_clock_of_a_former_incarnation_break_nothing() {
    for seed in 0..histories() {
        let system = play(seed, |system| {
            system.keep_target_names();
            system.set_max_hold(LONG_HOLD);
        });
        assert_eq!(system.violations(), [], "seed {seed}");
        assert_eq!(system.held_jobs_and_runs(), (0, 0), "seed {seed}");
    }
}

/// Returns the numbers of completed and of all jobs that are submitted after a restart of all targets, which had run
/// for long before.
fn completed_after_restart(seed: u64, prepare: impl Fn(&mut JobSystem)) -> (usize, usize) {
    let mut system = system(seed);
    prepare(&mut system);
    for side in 0..SIDES {
        system.plan(crash(side, 20_000, 500, false));
    }
    let jobs = load(&mut system, 22_500, 30_000);
    system.run_until(millis(40_000));
    assert_eq!(system.violations(), [], "seed {seed}");
    let is_completed = |answer: &JobAnswer| *answer == JobAnswer::Completed;
    (system.audit().count(is_completed), jobs)
}

#[test]
fn a_target_takes_work_as_soon_as_its_next_incarnation_reports() {
    for seed in 0..5 {
        let (completed, jobs) = completed_after_restart(seed, JobSystem::keep_target_names);
        assert_eq!(completed, jobs, "seed {seed}");
    }
}

/// Returns the number of histories with a violation or with jobs and runs left over.
fn count_failed_histories(prepare: impl Fn(&mut JobSystem)) -> usize {
    let is_broken = |seed: &u64| {
        let system = play(*seed, &prepare);
        !system.violations().is_empty() || system.held_jobs_and_runs() != (0, 0)
    };
    (0..histories()).filter(is_broken).count()
}

#[test]
fn incarnations_distinguished_by_name_alone_are_detected() {
    let failed = count_failed_histories(|system| {
        system.omit_start_times();
        system.set_max_hold(LONG_HOLD);
    });
    assert!(failed > 0, "the audit does not detect the violations");
}

#[test]
fn lives_told_apart_by_report_numbers_alone_are_caught() {
    let failed = count_failed_histories(|system| {
        system.infer_restarts_from_report_numbers();
        system.set_max_hold(LONG_HOLD);
    });
    assert!(failed > 0, "the audit does not detect the violations");
}
