//! Guards against holds that are too long because a side read its target's clock long ago.
//!
//! A side asks its target to hold runs until a time on the target's clock, which may be slow by two percent. After half
//! a minute without work the side's estimate of that clock was half a second ahead, and so were the requested holds.
//! When the side was killed then, its target ran on for longer than the entry waits before it starts a task elsewhere.

use std::time::Duration;

use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_side_that_is_killed_after_an_idle_time_leaves_no_run_behind() {
    for seed in 0..40 {
        let mut system = JobSystem::new(JobSystemSettings {
            entries: 1,
            sides: 3,
            cpu_millis: 16_000,
            entry_link: None,
            active_links: None,
            seed,
        });
        for job in 0..6 {
            system.submit(millis(40_000 + job), 0, 3, millis(1_500));
        }
        for side in 0..2 {
            let fault = JobFault::KillSide {
                side,
                downtime: millis(3_000),
            };
            let at = millis(40_030 + 10 * seed);
            system.plan(JobFaultPlan { at, fault });
        }
        system.run_until(Duration::from_secs(55));
        assert_eq!(system.violations(), [], "seed {seed}");
    }
}
