//! Guards against holds that are set by the clock of a target's earlier incarnation.
//!
//! A restarted side reads the clock of a target that has not reported to it yet. The target then restarts, and its
//! next incarnation reports first, so that the clock that was read belongs to another incarnation.

use std::time::Duration;

use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings, JobViolation};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn crash(ms: u64, downtime: u64) -> JobFaultPlan {
    let fault = JobFault::CrashTarget {
        side: 0,
        downtime: millis(downtime),
        is_silent: true,
    };
    let at = millis(ms);
    JobFaultPlan { at, fault }
}

fn play(seed: u64, keep_names: bool) -> JobSystem {
    let mut system = JobSystem::new(JobSystemSettings {
        entries: 1,
        sides: 2,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    });
    if keep_names {
        system.keep_target_names();
    }
    let (side, downtime, time) = (0, millis(700), millis(1_200));
    system.plan(JobFaultPlan {
        at: millis(1_000),
        fault: JobFault::KillSide { side, downtime },
    });
    system.plan(crash(1_200, 50));
    system.plan(crash(2_400 + seed, 9));
    system.submit(millis(2_430), 0, 6, millis(1_500));
    system.plan(JobFaultPlan {
        at: millis(2_500),
        fault: JobFault::SuspendSide { side, time },
    });
    system.run_until(millis(9_000));
    system
}

fn count_concurrent_runs(system: &JobSystem) -> usize {
    let violations = system.violations().into_iter();
    let concurrent =
        violations.filter(|broken| matches!(broken, JobViolation::RanConcurrently { .. }));
    concurrent.count()
}

#[test]
fn incarnations_with_start_times_are_not_held_by_the_clock_of_another_incarnation() {
    let counts: Vec<usize> = (0..10)
        .map(|seed| count_concurrent_runs(&play(seed, true)))
        .collect();
    assert_eq!(counts, [0; 10]);
}

#[test]
fn a_life_that_reports_first_is_not_held_by_the_clock_of_the_one_before() {
    let counts: Vec<usize> = (0..10)
        .map(|seed| count_concurrent_runs(&play(seed, false)))
        .collect();
    assert_eq!(counts, [0; 10]);
}
