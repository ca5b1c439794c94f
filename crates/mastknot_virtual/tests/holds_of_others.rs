//! Runs of several entries, with leases of different ages, on one target that has a single hold for all of them.

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

/// Plays an entry whose runs renew the target's hold while another entry starts tasks under an old lease, until the
/// fault `end` of the side.
fn play(partition_ms: u64, start_ms: u64, seed: u64, end: JobFault) -> JobSystem {
    let mut system = system(seed);
    let partition = JobFault::PartitionLink {
        entry: 1,
        side: 0,
        direction: Direction::ToEntry,
        time: millis(partition_ms),
    };
    let partition_at = 2_000 + seed * 7;
    let start_at = partition_at + start_ms;
    system.submit(millis(1_500), 0, 4, millis(3_000));
    system.plan(JobFaultPlan {
        at: millis(partition_at),
        fault: partition,
    });
    system.submit(millis(start_at), 1, 6, millis(1_500));
    system.plan(JobFaultPlan {
        at: millis(start_at + 3),
        fault: end,
    });
    system.run_until(millis(10_000));
    system
}

fn count_concurrent_runs(system: &JobSystem) -> usize {
    let violations = system.violations().into_iter();
    let concurrent =
        violations.filter(|broken| matches!(broken, JobViolation::RanConcurrently { .. }));
    concurrent.count()
}

/// Guards against a run under an old lease that goes on until the end of the hold for another entry's younger lease.
#[test]
fn a_start_under_an_old_lease_is_not_held_by_a_younger_one() {
    let (side, downtime, time) = (0, millis(4_000), millis(4_000));
    let ends = [
        JobFault::KillSide { side, downtime },
        JobFault::PauseSide { side, time },
        JobFault::SuspendSide { side, time },
    ];
    for end in ends {
        for start_ms in [100, 200, 250, 300, 330] {
            let counts: Vec<usize> = (0..12)
                .map(|seed| count_concurrent_runs(&play(600, start_ms, seed, end)))
                .collect();
            assert_eq!(counts, [0; 12], "{end:?}, start after {start_ms} ms");
        }
    }
}
