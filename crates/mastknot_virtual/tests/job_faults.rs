//! Sized tasks under leases: each fault at each step, and random histories of faults.

use std::time::Duration;

use mastknot_core::job::JobAnswer;
use mastknot_virtual::{
    Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings, TargetBehaviour,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 2;
const SIDES: usize = 3;
/// Histories that CI runs; `MASTKNOT_HISTORIES` asks for more.
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

/// Jobs of three lengths, one each 80 ms at both entries in turn: half of what the targets bear.
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

fn assert_kept(system: &JobSystem, what: &str) {
    let violations = system.violations();
    assert!(
        violations.is_empty(),
        "{what}: {:?}",
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
        "{what}: left over in {}",
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
        "all room is free again"
    );
}

fn faults() -> Vec<(&'static str, JobFault)> {
    let mut faults = vec![
        (
            "entry killed",
            JobFault::KillEntry {
                entry: 0,
                down: millis(200),
            },
        ),
        (
            "entry gone for long",
            JobFault::KillEntry {
                entry: 0,
                down: millis(4_000),
            },
        ),
        (
            "entry frozen",
            JobFault::PauseEntry {
                entry: 0,
                time: millis(3_000),
            },
        ),
        (
            "entry frozen for the length of a lease",
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
                down: millis(120),
            },
        ),
        (
            "side killed for about a hold",
            JobFault::KillSide {
                side: 0,
                down: millis(480),
            },
        ),
        (
            "side gone for long",
            JobFault::KillSide {
                side: 0,
                down: millis(3_000),
            },
        ),
        (
            "side frozen",
            JobFault::PauseSide {
                side: 0,
                time: millis(3_000),
            },
        ),
        (
            "side frozen for the length of a lease",
            JobFault::PauseSide {
                side: 0,
                time: millis(360),
            },
        ),
        ("link reset", JobFault::ResetLink { entry: 0, side: 0 }),
        (
            "link silent for good",
            JobFault::SilenceLink { entry: 0, side: 0 },
        ),
        (
            "target crashed",
            JobFault::CrashTarget {
                side: 0,
                down: millis(500),
                is_silent: false,
            },
        ),
        (
            "target dark",
            JobFault::CrashTarget {
                side: 0,
                down: millis(2_500),
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
            faults.push(("link cut", fault));
        }
    }
    for mood in [
        TargetBehaviour::FailsAll,
        TargetBehaviour::Stalls,
        TargetBehaviour::Slow(8),
        TargetBehaviour::AppliesLate(3),
        TargetBehaviour::LosesAnswers(3),
    ] {
        faults.push((
            "target in a mood",
            JobFault::Misbehave {
                side: 0,
                behaviour: mood,
                time: millis(4_000),
            },
        ));
    }
    faults
}

/// The promises that cost nothing under any fault.
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

/// Callers leave while their jobs run, or before: whatever fails then, an entry, a side, both, an order that is carried
/// out seconds late, nothing of the jobs goes on for longer than the leases.
#[test]
fn nothing_runs_on_after_its_callers_have_left() {
    let gone = [
        None,
        Some(JobFault::KillEntry {
            entry: 0,
            down: millis(15_000),
        }),
        Some(JobFault::KillSide {
            side: 0,
            down: millis(15_000),
        }),
    ];
    for (name, fault) in faults() {
        for (step, second) in (0..12).flat_map(|step| gone.map(|second| (step, second))) {
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
fn a_target_that_fails_all_it_starts_does_not_draw_the_work() {
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
fn a_target_that_stands_still_costs_little() {
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
    assert_kept(&system, "target that stands still");
    let completed = system
        .audit()
        .count(|answer| *answer == JobAnswer::Completed);
    assert!(
        completed * 100 >= jobs * 97,
        "{completed} of {jobs} jobs completed"
    );
}

/// Targets that shrink and grow beside other faults, some while their side stands still.
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
fn room_that_shrinks_and_grows_breaks_nothing() {
    for seed in 0..100 {
        let system = play_resizes(seed, |_| {});
        assert_kept(&system, &format!("seed {seed}"));
        let system = play_resizes(seed, JobSystem::disable_target_capacity_checks);
        assert_kept(&system, &format!("seed {seed}, unguarded"));
    }
}

#[test]
fn sides_that_go_by_the_first_room_would_overfill_targets() {
    let is_broken = |seed: &u64| {
        let system = play_resizes(*seed, |system| {
            system.disable_target_capacity_checks();
            system.hide_resizes();
        });
        !system.violations().is_empty()
    };
    let broken = (0..100).filter(is_broken).count();
    assert!(broken > 0, "the audit does not see it");
}

/// Entries and sides whose VMs are suspended, in turn and both at once.
fn play_suspensions(seed: u64, has_steady_clocks: bool) -> JobSystem {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut system = system(seed);
    if has_steady_clocks {
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

/// Processes that read a clock that stands still take leases for young that are long over.
#[test]
fn steady_clocks_would_break_promises_on_suspended_machines() {
    let broken = (0..SUSPENSIONS).filter(|seed| {
        let system = play_suspensions(*seed, true);
        !system.violations().is_empty()
    });
    assert!(broken.count() > 0, "the audit does not see it");
}

fn random_fault(rng: &mut StdRng) -> JobFault {
    let entry = rng.random_range(0..ENTRIES);
    let side = rng.random_range(0..SIDES);
    let time = millis(rng.random_range(20..3_500));
    match rng.random_range(0..10) {
        0 => JobFault::KillEntry { entry, down: time },
        1 => JobFault::PauseEntry { entry, time },
        2 => JobFault::KillSide { side, down: time },
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
            down: time,
            is_silent: rng.random_bool(0.5),
        },
        _ => {
            let moods = [
                TargetBehaviour::FailsAll,
                TargetBehaviour::Stalls,
                TargetBehaviour::Slow(7),
                TargetBehaviour::AppliesLate(4),
                TargetBehaviour::LosesAnswers(4),
            ];
            let mood = moods[rng.random_range(0..moods.len())];
            JobFault::Misbehave {
                side,
                behaviour: mood,
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
    let asked = std::env::var("MASTKNOT_HISTORIES").ok();
    let count = asked
        .and_then(|text| text.parse().ok())
        .unwrap_or(CI_HISTORIES);
    let first = std::env::var("MASTKNOT_FIRST_HISTORY").ok();
    let first: u64 = first.and_then(|text| text.parse().ok()).unwrap_or(0);
    (first..first + count).for_each(random_history);
}
