//! Sized tasks under leases: each fault at each step, pairs of faults, and random histories of faults.

use std::time::Duration;

use mastknot_core::job::JobAnswer;
use mastknot_virtual::{
    Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings, TargetBehaviour,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 2;
const SIDES: usize = 3;
/// Number of histories that CI runs; `MASTKNOT_HISTORIES` sets another number.
const CI_HISTORIES: u64 = 150;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn system(seed: u64) -> JobSystem {
    JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    })
}

/// Submits jobs of three lengths, one every 80 ms, to both entries in turn: half of what the targets can run.
fn load(system: &mut JobSystem, from: u64, until: u64) -> usize {
    let mut count = 0;
    let mut at = from;
    while at < until {
        let (tasks, work) = match count % 3 {
            0 => (8, 60),
            1 => (2, 200),
            _ => (3, 900),
        };
        system.submit(millis(at), count % ENTRIES, tasks, millis(work));
        count += 1;
        at += 80;
    }
    count
}

/// Panics if a guarantee was violated or if an entry still holds jobs or runs.
fn assert_kept(system: &JobSystem, context: &str) {
    let violations = system.violations();
    assert!(
        violations.is_empty(),
        "{context}: {:?}",
        &violations[..violations.len().min(3)]
    );
    let held = || {
        (0..ENTRIES)
            .map(|entry| system.describe_entry(entry))
            .collect::<String>()
    };
    assert_eq!(
        system.held_jobs_and_runs(),
        (0, 0),
        "{context}: left over in {}",
        held()
    );
}

#[test]
fn a_calm_run_completes_everything() {
    let mut system = system(1);
    let jobs = load(&mut system, 200, 3_000);
    system.run_until(millis(8_000));
    assert_kept(&system, "calm");
    let completed = system
        .audit()
        .count(|answer| *answer == JobAnswer::Completed);
    assert_eq!(completed, jobs);
    assert_eq!(
        system.free_cpu(),
        vec![16_000; SIDES],
        "all capacity is free again"
    );
}

/// Returns named faults for the tests that play each of them.
fn faults() -> Vec<(&'static str, JobFault)> {
    let mut faults = vec![
        (
            "entry killed",
            JobFault::KillEntry {
                entry: 0,
                downtime: millis(200),
            },
        ),
        (
            "entry down for long",
            JobFault::KillEntry {
                entry: 0,
                downtime: millis(4_000),
            },
        ),
        (
            "entry paused",
            JobFault::PauseEntry {
                entry: 0,
                time: millis(3_000),
            },
        ),
        (
            "entry paused for the length of a lease",
            JobFault::PauseEntry {
                entry: 0,
                time: millis(360),
            },
        ),
        (
            "entry suspended",
            JobFault::SuspendEntry {
                entry: 0,
                time: millis(2_500),
            },
        ),
        (
            "side suspended",
            JobFault::SuspendSide {
                side: 0,
                time: millis(2_500),
            },
        ),
        (
            "side suspended for about a lease",
            JobFault::SuspendSide {
                side: 0,
                time: millis(400),
            },
        ),
        (
            "side killed",
            JobFault::KillSide {
                side: 0,
                downtime: millis(120),
            },
        ),
        (
            "side killed for about a hold",
            JobFault::KillSide {
                side: 0,
                downtime: millis(480),
            },
        ),
        (
            "side down for long",
            JobFault::KillSide {
                side: 0,
                downtime: millis(3_000),
            },
        ),
        (
            "side paused",
            JobFault::PauseSide {
                side: 0,
                time: millis(3_000),
            },
        ),
        (
            "side paused for the length of a lease",
            JobFault::PauseSide {
                side: 0,
                time: millis(360),
            },
        ),
        ("link reset", JobFault::ResetLink { entry: 0, side: 0 }),
        (
            "link silent permanently",
            JobFault::SilenceLink { entry: 0, side: 0 },
        ),
        (
            "target crashed",
            JobFault::CrashTarget {
                side: 0,
                downtime: millis(500),
                is_silent: false,
            },
        ),
        (
            "target crashed silently",
            JobFault::CrashTarget {
                side: 0,
                downtime: millis(2_500),
                is_silent: true,
            },
        ),
    ];
    for direction in [Direction::ToSide, Direction::ToEntry, Direction::Both] {
        for time in [200, 345, 370, 620, 3_000] {
            let fault = JobFault::PartitionLink {
                entry: 0,
                side: 0,
                direction,
                time: millis(time),
            };
            faults.push(("link partitioned", fault));
        }
    }
    for behaviour in [
        TargetBehaviour::FailsAll,
        TargetBehaviour::Stalls,
        TargetBehaviour::Slow(8),
        TargetBehaviour::AppliesLate(3),
        TargetBehaviour::LosesAnswers(3),
    ] {
        faults.push((
            "misbehaving target",
            JobFault::Misbehave {
                side: 0,
                behaviour,
                time: millis(4_000),
            },
        ));
    }
    faults
}

/// Plays a load with the given faults.
fn play(plans: &[JobFaultPlan], seed: u64) -> JobSystem {
    let mut system = system(seed);
    load(&mut system, 200, 2_600);
    plans.iter().for_each(|plan| system.plan(*plan));
    system.run_until(millis(17_000));
    system
}

#[test]
fn each_fault_at_each_step_breaks_nothing() {
    for (name, fault) in faults() {
        for step in 0..10 {
            let at = Duration::from_micros(1_000_000 + step * 33_370);
            let system = play(&[JobFaultPlan { at, fault }], step);
            assert_kept(&system, &format!("{name} ({fault:?}) at {at:?}"));
        }
    }
}

/// Guards against runs that go on for longer than the leases after their callers have left, while the jobs run or
/// before, when an entry, a side or both fail or an order is carried out seconds late.
#[test]
fn nothing_runs_on_after_its_callers_have_left() {
    let second_faults = [
        None,
        Some(JobFault::KillEntry {
            entry: 0,
            downtime: millis(15_000),
        }),
        Some(JobFault::KillSide {
            side: 0,
            downtime: millis(15_000),
        }),
    ];
    for (name, fault) in faults() {
        for (step, second) in (0..12).flat_map(|step| second_faults.map(|second| (step, second))) {
            let mut system = system(step);
            for job in 0..8 {
                let id = system.submit(millis(1_000 + 5 * job), 0, 4, millis(900));
                system.abandon_job(millis(1_040 + 30 * step + job), id);
            }
            let at = Duration::from_micros(1_000_000 + step * 33_370);
            system.plan(JobFaultPlan { at, fault });
            if let Some(fault) = second {
                let at = at + millis(20);
                system.plan(JobFaultPlan { at, fault });
            }
            system.run_until(millis(17_000));
            let violations = system.violations();
            assert!(
                violations.is_empty(),
                "{name} at {at:?}, then {second:?}: {violations:?}"
            );
        }
    }
}

#[test]
fn pairs_of_faults_break_nothing() {
    let all = faults();
    for (first_name, first) in &all {
        for (second_name, second) in &all {
            let plans = [
                JobFaultPlan {
                    at: millis(1_100),
                    fault: *first,
                },
                JobFaultPlan {
                    at: millis(1_290),
                    fault: *second,
                },
            ];
            let system = play(&plans, 7);
            assert_kept(
                &system,
                &format!("{first_name}, then {second_name}: {plans:?}"),
            );
        }
    }
}

#[test]
fn a_target_that_fails_all_starts_does_not_attract_the_work() {
    let mut system = system(3);
    let jobs = load(&mut system, 200, 6_000);
    let fault = JobFault::Misbehave {
        side: 1,
        behaviour: TargetBehaviour::FailsAll,
        time: millis(20_000),
    };
    system.plan(JobFaultPlan {
        at: millis(1_000),
        fault,
    });
    system.run_until(millis(12_000));
    assert_kept(&system, "failing target");
    let completed = system
        .audit()
        .count(|answer| *answer == JobAnswer::Completed);
    assert!(
        completed * 100 >= jobs * 97,
        "{completed} of {jobs} jobs completed"
    );
}

#[test]
fn a_stalling_target_costs_little() {
    let mut system = system(4);
    let jobs = load(&mut system, 200, 6_000);
    let fault = JobFault::Misbehave {
        side: 1,
        behaviour: TargetBehaviour::Stalls,
        time: millis(20_000),
    };
    system.plan(JobFaultPlan {
        at: millis(1_000),
        fault,
    });
    system.run_until(millis(12_000));
    assert_kept(&system, "stalling target");
    let completed = system
        .audit()
        .count(|answer| *answer == JobAnswer::Completed);
    assert!(
        completed * 100 >= jobs * 97,
        "{completed} of {jobs} jobs completed"
    );
}

/// Plays targets whose capacity shrinks and grows beside other faults, some of them while the side is paused.
fn play_resizes(seed: u64, prepare: impl Fn(&mut JobSystem)) -> JobSystem {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut system = system(seed);
    prepare(&mut system);
    load(&mut system, 200, 9_000);
    for _ in 0..5 {
        let at = millis(rng.random_range(300..4_000));
        let fault = JobFault::Resize {
            side: rng.random_range(0..SIDES),
            cpu_millis: [0, 1_000, 4_000, 9_000, 32_000][rng.random_range(0..5)],
            time: millis(rng.random_range(200..9_000)),
        };
        system.plan(JobFaultPlan { at, fault });
    }
    for _ in 0..rng.random_range(0..4) {
        let at = millis(rng.random_range(300..7_000));
        let fault = random_fault(&mut rng);
        system.plan(JobFaultPlan { at, fault });
    }
    system.run_until(millis(25_000));
    system
}

#[test]
fn capacity_that_shrinks_and_grows_breaks_nothing() {
    for seed in 0..100 {
        let system = play_resizes(seed, |_| {});
        assert_kept(&system, &format!("seed {seed}"));
        let system = play_resizes(seed, JobSystem::disable_target_capacity_checks);
        assert_kept(
            &system,
            &format!("seed {seed}, without capacity checks of the targets"),
        );
    }
}

#[test]
fn sides_that_ignore_resizes_overfill_targets() {
    let is_broken = |seed: &u64| {
        let system = play_resizes(*seed, |system| {
            system.disable_target_capacity_checks();
            system.hide_resizes();
        });
        !system.violations().is_empty()
    };
    let broken = (0..100).filter(is_broken).count();
    assert!(broken > 0, "the audit does not detect the violations");
}

/// Plays entries and sides whose VMs are suspended, one at a time and both at once.
fn play_suspensions(seed: u64, has_stopped_clocks: bool) -> JobSystem {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut system = system(seed);
    if has_stopped_clocks {
        system.use_clocks_stopped_by_suspension();
    }
    load(&mut system, 200, 4_600);
    for _ in 0..6 {
        let at = millis(rng.random_range(300..4_500));
        let time = millis(rng.random_range(200..3_000));
        let entry = rng.random_range(0..ENTRIES);
        let side = rng.random_range(0..SIDES);
        let faults = [
            JobFault::SuspendEntry { entry, time },
            JobFault::SuspendSide { side, time },
        ];
        let first = rng.random_range(0..2);
        let both = rng.random_bool(0.3);
        for fault in faults.into_iter().skip(first).take(1 + usize::from(both)) {
            system.plan(JobFaultPlan { at, fault });
        }
    }
    system.run_until(millis(20_000));
    system
}

const SUSPENSIONS: u64 = 100;

#[test]
fn suspended_machines_break_nothing() {
    for seed in 0..SUSPENSIONS {
        let system = play_suspensions(seed, false);
        assert_kept(&system, &format!("seed {seed}"));
    }
}

/// With a clock that stops during a suspension, a process regards leases as valid that expired long ago.
#[test]
fn clocks_stopped_by_suspension_break_guarantees() {
    let broken = (0..SUSPENSIONS).filter(|seed| {
        let system = play_suspensions(*seed, true);
        !system.violations().is_empty()
    });
    assert!(
        broken.count() > 0,
        "the audit does not detect the violations"
    );
}

fn random_fault(rng: &mut StdRng) -> JobFault {
    let entry = rng.random_range(0..ENTRIES);
    let side = rng.random_range(0..SIDES);
    let time = millis(rng.random_range(20..3_500));
    match rng.random_range(0..10) {
        0 => JobFault::KillEntry {
            entry,
            downtime: time,
        },
        1 => JobFault::PauseEntry { entry, time },
        2 => JobFault::KillSide {
            side,
            downtime: time,
        },
        3 => JobFault::PauseSide { side, time },
        4 | 5 => {
            let directions = [Direction::ToSide, Direction::ToEntry, Direction::Both];
            let direction = directions[rng.random_range(0..3)];
            JobFault::PartitionLink {
                entry,
                side,
                direction,
                time,
            }
        }
        6 => JobFault::ResetLink { entry, side },
        9 => JobFault::SilenceLink { entry, side },
        7 => JobFault::CrashTarget {
            side,
            downtime: time,
            is_silent: rng.random_bool(0.5),
        },
        _ => {
            let behaviours = [
                TargetBehaviour::FailsAll,
                TargetBehaviour::Stalls,
                TargetBehaviour::Slow(7),
                TargetBehaviour::AppliesLate(4),
                TargetBehaviour::LosesAnswers(4),
            ];
            let behaviour = behaviours[rng.random_range(0..behaviours.len())];
            JobFault::Misbehave {
                side,
                behaviour,
                time,
            }
        }
    }
}

fn random_history(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(1..7);
    let plans: Vec<JobFaultPlan> = (0..count)
        .map(|_| JobFaultPlan {
            at: millis(rng.random_range(300..4_500)),
            fault: random_fault(&mut rng),
        })
        .collect();
    let system = play(&plans, seed);
    assert_kept(&system, &format!("seed {seed}: {plans:?}"));
}

#[test]
fn random_histories_break_nothing() {
    let requested_count = std::env::var("MASTKNOT_HISTORIES").ok();
    let count = requested_count
        .and_then(|text| text.parse().ok())
        .unwrap_or(CI_HISTORIES);
    let first = std::env::var("MASTKNOT_FIRST_HISTORY").ok();
    let first: u64 = first.and_then(|text| text.parse().ok()).unwrap_or(0);
    (first..first + count).for_each(random_history);
}
