//! Guards against refusing jobs because of silent sides on standby: an entry that asks such a side about a job must not
//! wait for it for long.

use std::time::Duration;

use mastknot_core::job::JobAnswer;
use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

const SIDES: usize = 12;
/// Number of sides that are paused.
const PAUSED: usize = 4;
/// Time at which the sides are paused, in milliseconds.
const PAUSED_AT: u64 = 2_000;
/// Time within which a silent link is closed and a new one awaited, in milliseconds.
const NOTICED_WITHIN: u64 = 500;

#[test]
fn short_jobs_are_not_refused_for_a_silent_side_on_standby() {
    for seed in 0..5 {
        let mut system = JobSystem::new(JobSystemSettings {
            entries: 2,
            sides: SIDES,
            cpu_millis: 16_000,
            entry_link: None,
            active_links: Some(3),
            seed,
        });
        let at = Duration::from_millis(PAUSED_AT);
        let time = Duration::from_secs(8);
        for side in 0..PAUSED {
            let fault = JobFault::PauseSide { side, time };
            system.plan(JobFaultPlan { at, fault });
        }
        let mut jobs = Vec::new();
        for ms in (500..8_000).step_by(20) {
            let at = Duration::from_millis(ms);
            let entry = (ms / 20 % 2) as usize;
            let job = system.submit(at, entry, 1, Duration::from_millis(60));
            if ms > PAUSED_AT + NOTICED_WITHIN {
                jobs.push(job);
            }
        }
        system.run_until(Duration::from_secs(14));
        let completed = |answer: &JobAnswer| *answer == JobAnswer::Completed;
        let served = jobs.iter().filter(|job| {
            let mut answers = system.audit().answers_to(**job).iter();
            answers.any(|given| completed(&given.answer))
        });
        let share = served.count() as f64 / jobs.len() as f64;
        assert!(share >= 0.95, "seed {seed}: {share:.3}");
    }
}
