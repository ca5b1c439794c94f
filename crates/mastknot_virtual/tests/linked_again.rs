//! A link that is opened again for a moment: the side receives the entry's messages, but the entry no longer receives
//! the side's.

use std::time::Duration;

use mastknot_virtual::{
    Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings, JobViolation,
};

/// Time at which the link breaks, in milliseconds.
const BROKEN_AT_MS: u64 = 2_000;
/// Time after the break from which a new link can be opened, in milliseconds.
const AWAY_MS: u64 = 150;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn system(seed: u64) -> JobSystem {
    JobSystem::new(JobSystemSettings {
        entries: 1,
        sides: 2,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    })
}

fn partition(at: Duration, direction: Direction, time: Duration) -> JobFaultPlan {
    let fault = JobFault::PartitionLink {
        entry: 0,
        side: 0,
        direction,
        time,
    };
    JobFaultPlan { at, fault }
}

/// Plays a link that breaks and is opened again. Once it has been open for `reopened_for`, no more messages arrive at
/// the entry.
fn play(reopened_for: Duration, seed: u64) -> JobSystem {
    let mut system = system(seed);
    system.submit(millis(1_500), 0, 6, millis(1_900));
    let broken = JobFault::ResetLink { entry: 0, side: 0 };
    system.plan(JobFaultPlan {
        at: millis(BROKEN_AT_MS),
        fault: broken,
    });
    system.plan(partition(
        millis(BROKEN_AT_MS),
        Direction::Both,
        millis(AWAY_MS),
    ));
    let silent_from = millis(BROKEN_AT_MS + AWAY_MS) + reopened_for;
    system.plan(partition(silent_from, Direction::ToEntry, millis(2_500)));
    system.run_until(millis(9_000));
    system
}

fn count_concurrent_runs(system: &JobSystem) -> usize {
    let violations = system.violations().into_iter();
    let concurrent =
        violations.filter(|broken| matches!(broken, JobViolation::RanConcurrently { .. }));
    concurrent.count()
}

/// Guards against two different starts of a lease: the side counted from its hello on the new link, the entry from the
/// last message on the former link.
#[test]
fn runs_do_not_go_on_under_a_hello_whose_answer_was_not_received() {
    let mut concurrent = Vec::new();
    for seed in 0..10 {
        for step in 0..120 {
            let reopened_for = Duration::from_micros(1_000 * step);
            let count = count_concurrent_runs(&play(reopened_for, seed));
            if count > 0 {
                concurrent.push((seed, reopened_for, count));
            }
        }
    }
    assert_eq!(
        concurrent,
        [],
        "seed, time after which the entry received nothing, tasks"
    );
}
