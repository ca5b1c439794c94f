//! Guards against concurrent runs on targets that leave stop orders unanswered and carry them out seconds late, while
//! they answer all other requests.

use std::time::Duration;

use mastknot_virtual::{
    JobFault, JobFaultPlan, JobSystem, JobSystemSettings, JobViolation, TargetBehaviour,
};

const ENTRIES: usize = 3;
const SIDES: usize = 6;

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

/// Plays jobs whose tasks run for longer than their callers wait: each job is answered with 504 and submitted again to
/// some entry.
fn play(behaviour: TargetBehaviour, seed: u64) -> JobSystem {
    let mut system = system(seed);
    for side in 0..SIDES {
        let time = millis(8_000);
        let fault = JobFault::Misbehave {
            side,
            behaviour,
            time,
        };
        let at = millis(500);
        system.plan(JobFaultPlan { at, fault });
    }
    for job in 0..8 {
        let at = millis(1_000 + 50 * job);
        system.submit(at, job as usize % ENTRIES, 2, millis(5_000));
    }
    system.run_until(millis(24_000));
    system
}

fn count_concurrent_runs(system: &JobSystem) -> usize {
    let violations = system.violations().into_iter();
    let concurrent =
        violations.filter(|broken| matches!(broken, JobViolation::RanConcurrently { .. }));
    concurrent.count()
}

#[test]
fn a_duplicate_does_not_run_beside_a_run_whose_stop_is_not_answered() {
    let counts: Vec<usize> = (0..10)
        .map(|seed| count_concurrent_runs(&play(TargetBehaviour::StopsLate(1), seed)))
        .collect();
    assert_eq!(counts, [0; 10], "tasks that ran twice at once, by seed");
}

#[test]
fn stops_of_which_some_are_answered_late_stop_in_time() {
    let behaviours = [
        TargetBehaviour::Healthy,
        TargetBehaviour::StopsLate(2),
        TargetBehaviour::AppliesLate(3),
        TargetBehaviour::LosesAnswers(2),
    ];
    for behaviour in behaviours {
        for seed in 0..10 {
            let concurrent = count_concurrent_runs(&play(behaviour, seed));
            assert_eq!(concurrent, 0, "{behaviour:?}, seed {seed}");
        }
    }
}
