//! A hall returns with targets that are slow at first and report that they are cold.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId};
use mastknot_virtual::{JobSystem, JobSystemSettings};

/// Number of sides. Their 48 targets can run 480 tasks; a job of 4 tasks of 80 ms every 1.1 ms keeps 290 running.
const SIDES: usize = 48;
const ENTRIES: usize = 6;
/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_micros(1_100);
/// Latency objective of a job: 1.6 times the work plus 60 ms.
const OBJECTIVE: Duration = Duration::from_millis(188);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Returns the share of jobs that complete in time while a third of the targets is cold.
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
        at += JOB_INTERVAL;
    }
    system.run_until(secs(13));
    assert_eq!(system.violations(), []);
    let is_in_time = |id: &&JobId| {
        let given = system.audit().answers_to(**id).first();
        given.is_some_and(|given| given.answer == JobAnswer::Completed && given.after <= OBJECTIVE)
    };
    jobs.iter().filter(is_in_time).count() as f64 / jobs.len() as f64
}

/// Guards against placing tasks on cold targets while warm ones have capacity. A task takes three times as long on a
/// cold target, so one such task makes its job of four tasks late.
#[test]
fn warm_targets_are_filled_before_cold_ones() {
    let (hidden, known) = (in_time(true), in_time(false));
    println!(
        "in time: {hidden:.3} where targets do not report that they are cold, {known:.3} where they do"
    );
    assert!(known >= 0.99, "{known:.3}");
    assert!(known > hidden, "{hidden:.3}, {known:.3}");
}
