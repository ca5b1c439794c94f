//! A hall comes back with targets that are slow for a while, and say so.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId};
use mastknot_virtual::{JobSystem, JobSystemSettings};

/// 48 targets hold 480 tasks; 4 tasks of 80 ms each 1.1 ms keep 290 of them busy.
const SIDES: usize = 48;
const ENTRIES: usize = 6;
const EACH: Duration = Duration::from_micros(1_100);
/// 1.6 times the work and 60 ms more.
const OBJECTIVE: Duration = Duration::from_millis(188);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// The share of the jobs in time while a third of the targets is cold.
fn in_time(is_hidden: bool) -> f64 {
    let mut system = JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed: 1,
    });
    system.run_until(secs(3));
    system.make_targets_cold(1, secs(9), is_hidden);
    let mut at = secs(5);
    let mut jobs: Vec<JobId> = Vec::new();
    while at < secs(9) {
        jobs.push(system.submit(at, jobs.len() % ENTRIES, 4, Duration::from_millis(80)));
        at += EACH;
    }
    system.run_until(secs(13));
    assert_eq!(system.violations(), []);
    let is_in_time = |id: &&JobId| {
        let given = system.audit().answers_to(**id).first();
        given.is_some_and(|given| given.answer == JobAnswer::Completed && given.after <= OBJECTIVE)
    };
    jobs.iter().filter(is_in_time).count() as f64 / jobs.len() as f64
}

/// Tasks take three times their time at cold targets: a job of four tasks is late with one of them.
#[test]
fn warm_targets_are_filled_before_cold_ones() {
    let (hidden, known) = (in_time(true), in_time(false));
    println!(
        "in time: {hidden:.3} where targets do not say that they are cold, {known:.3} where they do"
    );
    assert!(known >= 0.99, "{known:.3}");
    assert!(known > hidden, "{hidden:.3}, {known:.3}");
}
