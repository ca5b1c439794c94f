//! Guards against runs that are reconciled as lost although they go on, when faults follow each other closely. A target
//! would list such a run while no entry has it.
//!
//! Pauses and suspensions of sides are left out: the answers that a target gave before a side resumes are outdated when
//! the side reads them.

use std::time::Duration;

use mastknot_virtual::{
    Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings, JobViolation, TargetBehaviour,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 3;
const SIDES: usize = 4;
/// Number of pairs of faults in one history.
const PAIRS: usize = 14;
/// Number of histories that CI runs; `MASTKNOT_HISTORIES` sets another number.
const CI_HISTORIES: u64 = 150;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn histories() -> u64 {
    let requested_count = std::env::var("MASTKNOT_HISTORIES").ok();
    let requested_count = requested_count.and_then(|text| text.parse().ok());
    requested_count.unwrap_or(CI_HISTORIES)
}

fn direction(rng: &mut StdRng) -> Direction {
    [Direction::ToSide, Direction::ToEntry, Direction::Both][rng.random_range(0..3)]
}

fn behaviour(rng: &mut StdRng) -> TargetBehaviour {
    let behaviours = [
        TargetBehaviour::AppliesLate(3),
        TargetBehaviour::LosesAnswers(2),
        TargetBehaviour::StopsLate(3),
        TargetBehaviour::Stalls,
    ];
    behaviours[rng.random_range(0..behaviours.len())]
}

fn fault(rng: &mut StdRng) -> JobFault {
    let entry = rng.random_range(0..ENTRIES);
    let side = rng.random_range(0..SIDES);
    let time = millis(rng.random_range(20..1_500));
    match rng.random_range(0..11) {
        0 => JobFault::KillSide {
            side,
            downtime: time,
        },
        1 => JobFault::KillEntry {
            entry,
            downtime: time,
        },
        2 => JobFault::PauseEntry { entry, time },
        3 => JobFault::SilenceLink { entry, side },
        4 | 5 => JobFault::ResetLink { entry, side },
        6 => JobFault::Misbehave {
            side,
            behaviour: behaviour(rng),
            time,
        },
        7 => JobFault::CrashTarget {
            side,
            downtime: millis(rng.random_range(5..600)),
            is_silent: rng.random_bool(0.5),
        },
        _ => JobFault::PartitionLink {
            entry,
            side,
            direction: direction(rng),
            time,
        },
    }
}

/// Submits short and long jobs to all entries in turn.
fn load(system: &mut JobSystem) {
    for (count, at) in (800..5_000).step_by(100).enumerate() {
        let (tasks, work) = match count % 4 {
            0 => (6, 80),
            1 => (2, 300),
            2 => (3, 900),
            _ => (2, 1_500),
        };
        system.submit(millis(at), count % ENTRIES, tasks, millis(work));
    }
}

/// Plays faults in pairs, the second of each pair shortly after the first.
fn play(seed: u64) -> JobSystem {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut system = JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    });
    if seed.is_multiple_of(3) {
        system.keep_target_names();
    }
    load(&mut system);
    for _ in 0..PAIRS {
        let first = rng.random_range(1_000..5_000);
        let second = first + rng.random_range(0..400);
        for at in [first, second] {
            let at = millis(at);
            let fault = fault(&mut rng);
            system.plan(JobFaultPlan { at, fault });
        }
    }
    system.run_until(millis(14_000));
    system
}

#[test]
fn no_run_is_reconciled_as_lost_that_its_target_still_lists() {
    for seed in 0..histories() {
        let system = play(seed);
        assert_eq!(system.runs_unclaimed(), 0, "seed {seed}");
        let violations = system.violations();
        let is_concurrent =
            |broken: &&JobViolation| matches!(broken, JobViolation::RanConcurrently { .. });
        let concurrent = violations.iter().find(is_concurrent);
        assert_eq!(concurrent, None, "seed {seed}");
    }
}
