//! Entries with more sides than they need: some links are on standby and are activated when they are needed.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId};
use mastknot_virtual::{
    Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings, TargetBehaviour,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of histories that CI runs; `MASTKNOT_HISTORIES` sets another number.
const CI_HISTORIES: u64 = 60;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn system(entries: usize, sides: usize, usual_links: Option<usize>, seed: u64) -> JobSystem {
    JobSystem::new(JobSystemSettings {
        entries,
        sides,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: usual_links,
        seed,
    })
}

#[test]
fn an_entry_uses_no_more_links_than_it_needs() {
    let mut system = system(4, 240, None, 1);
    system.run_until(ms(3_000));
    assert_eq!(system.active_links(), [64; 4]);
    let jobs: Vec<JobId> = (0..200)
        .map(|number| system.submit(ms(3_000 + 10 * number), number as usize % 4, 8, ms(60)))
        .collect();
    system.run_until(ms(8_000));
    assert_eq!(system.audit().completed(&jobs), jobs.len());
    assert_eq!(system.active_links(), [64; 4]);
    assert!(system.violations().is_empty());
}

/// Guards against the cost of heartbeats on links that are not needed: 4 entries and 240 sides send 1.8 MB per second
/// with all links in use, and 0.59 MB with 64 links per entry.
#[test]
fn links_on_standby_cost_little() {
    let bytes = |usual_links| {
        let mut system = system(4, 240, Some(usual_links), 1);
        system.run_until(ms(4_000));
        system.link_record().bytes(ms(3_000), ms(4_000))
    };
    let (all, few) = (bytes(240), bytes(64));
    assert!(few * 5 / 2 < all, "{few} of {all} bytes a second");
}

#[test]
fn a_job_that_needs_more_capacity_gets_it_at_once() {
    let mut system = system(2, 40, Some(4), 3);
    system.run_until(ms(1_000));
    // Four targets can run forty tasks, so the job needs links that are on standby.
    let wide = system.submit(ms(1_000), 0, 150, ms(400));
    system.run_until(ms(2_500));
    let answers = system.audit().answers_to(wide);
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!(answers[0].answer, JobAnswer::Completed);
    assert!(answers[0].after < ms(900), "{:?}", answers[0].after);
    system.run_until(ms(10_000));
    assert_eq!(
        system.active_links(),
        [4; 2],
        "the additional links are on standby again"
    );
}

#[test]
fn links_that_are_lost_are_replaced_within_a_heartbeat() {
    let mut system = system(2, 40, Some(8), 4);
    system.run_until(ms(1_000));
    for side in 0..30 {
        let downtime = ms(20_000);
        let fault = JobFault::KillSide { side, downtime };
        system.plan(JobFaultPlan {
            at: ms(1_000),
            fault,
        });
    }
    system.run_until(ms(1_100));
    assert_eq!(system.active_links(), [8; 2]);
}

fn random_fault(rng: &mut StdRng, entries: usize, sides: usize) -> JobFault {
    let entry = rng.random_range(0..entries);
    let side = rng.random_range(0..sides);
    let time = ms(rng.random_range(50..3_000));
    match rng.random_range(0..8) {
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
        4 => JobFault::PartitionLink {
            entry,
            side,
            direction: [Direction::ToSide, Direction::ToEntry, Direction::Both]
                [rng.random_range(0..3)],
            time,
        },
        5 => JobFault::ResetLink { entry, side },
        6 => JobFault::CrashTarget {
            side,
            downtime: time,
            is_silent: rng.random(),
        },
        _ => JobFault::Misbehave {
            side,
            behaviour: TargetBehaviour::Healthy,
            time,
        },
    }
}

/// Plays two bursts with faults at random times. In the pause between the bursts the links return to standby.
#[test]
fn guarantees_hold_under_random_faults() {
    let histories = std::env::var("MASTKNOT_HISTORIES").ok();
    let histories = histories.and_then(|text| text.parse().ok());
    for seed in 0..histories.unwrap_or(CI_HISTORIES) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (entries, sides) = (3, 8);
        let mut system = system(entries, sides, Some(2), seed);
        for from in [500, 8_000] {
            for number in 0..60 {
                let at = ms(from + number * 25);
                let tasks = rng.random_range(1..12);
                let work = ms(rng.random_range(50..500));
                system.submit(at, number as usize % entries, tasks, work);
            }
        }
        for _ in 0..6 {
            let at = ms(rng.random_range(300..11_000));
            let fault = random_fault(&mut rng, entries, sides);
            system.plan(JobFaultPlan { at, fault });
        }
        system.run_until(ms(20_000));
        let violations = system.violations();
        assert!(violations.is_empty(), "seed {seed}: {:?}", violations[0]);
        assert_eq!(system.held_jobs_and_runs(), (0, 0), "seed {seed}");
    }
}
