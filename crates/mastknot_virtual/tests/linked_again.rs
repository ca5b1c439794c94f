//! A link that stands again for a moment: the side hears the entry, the entry does not hear what goes on.

use std::time::Duration;

use mastknot_virtual::{
    Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings, JobViolation,
};

/// The link breaks then, in milliseconds.
const BROKEN: u64 = 2_000;
/// New links can be made again so much later.
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

fn cut(at: Duration, direction: Direction, time: Duration) -> JobFaultPlan {
    let fault = JobFault::PartitionLink {
        entry: 0,
        side: 0,
        direction,
        time,
    };
    JobFaultPlan { at, fault }
}

/// The link breaks and stands again after a while; so long after that nothing arrives at the entry any more.
fn play(again: Duration, seed: u64) -> JobSystem {
    let mut system = system(seed);
    system.submit(millis(1_500), 0, 6, millis(1_900));
    let broken = JobFault::ResetLink { entry: 0, side: 0 };
    system.plan(JobFaultPlan {
        at: millis(BROKEN),
        fault: broken,
    });
    system.plan(cut(millis(BROKEN), Direction::Both, millis(AWAY_MS)));
    let deaf_from = millis(BROKEN + AWAY_MS) + again;
    system.plan(cut(deaf_from, Direction::ToEntry, millis(2_500)));
    system.run_until(millis(9_000));
    system
}

fn ran_twice(system: &JobSystem) -> usize {
    let violations = system.violations().into_iter();
    let twice = violations.filter(|broken| matches!(broken, JobViolation::RanConcurrently { .. }));
    twice.count()
}

/// The side's lease counted from its greeting, the entry's silence from the link before.
#[test]
fn runs_do_not_go_on_under_a_greeting_whose_answer_was_not_heard() {
    let mut twice = Vec::new();
    for seed in 0..10 {
        for step in 0..120 {
            let again = Duration::from_micros(1_000 * step);
            let count = ran_twice(&play(again, seed));
            if count > 0 {
                twice.push((seed, again, count));
            }
        }
    }
    assert_eq!(
        twice,
        [],
        "seed, when the entry heard nothing any more, tasks"
    );
}
