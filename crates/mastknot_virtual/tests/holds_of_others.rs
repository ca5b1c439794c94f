//! Runs of entries with leases of different ages on one target: its hold is one for all of them.

use std::time::Duration;

use mastknot_virtual::{
    Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings, JobViolation,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn system(seed: u64) -> JobSystem {
    JobSystem::new(JobSystemSettings {
        entries: 2,
        sides: 2,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    })
}

/// One entry's runs keep the hold young; the other one starts tasks under an old lease, and the side stands still or dies.
fn play(cut_ms: u64, start_ms: u64, seed: u64, end: JobFault) -> JobSystem {
    let mut system = system(seed);
    let cut = JobFault::PartitionLink {
        entry: 1,
        side: 0,
        direction: Direction::ToEntry,
        time: millis(cut_ms),
    };
    let cut_at = 2_000 + seed * 7;
    let start_at = cut_at + start_ms;
    system.submit(millis(1_500), 0, 4, millis(3_000));
    system.plan(JobFaultPlan {
        at: millis(cut_at),
        fault: cut,
    });
    system.submit(millis(start_at), 1, 6, millis(1_500));
    system.plan(JobFaultPlan {
        at: millis(start_at + 3),
        fault: end,
    });
    system.run_until(millis(10_000));
    system
}

fn ran_twice(system: &JobSystem) -> usize {
    let violations = system.violations().into_iter();
    let twice = violations.filter(|broken| matches!(broken, JobViolation::RanConcurrently { .. }));
    twice.count()
}

/// A run under an old lease went on for as long as another entry's younger lease had made the target hold.
#[test]
fn a_start_under_an_old_lease_is_not_held_by_a_younger_one() {
    let (side, down, time) = (0, millis(4_000), millis(4_000));
    let ends = [
        JobFault::KillSide { side, down },
        JobFault::PauseSide { side, time },
        JobFault::SuspendSide { side, time },
    ];
    for end in ends {
        for start_ms in [100, 200, 250, 300, 330] {
            let counts: Vec<usize> = (0..12)
                .map(|seed| ran_twice(&play(600, start_ms, seed, end)))
                .collect();
            assert_eq!(counts, [0; 12], "{end:?}, start after {start_ms} ms");
        }
    }
}
