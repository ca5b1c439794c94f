//! Targets whose clocks were read long ago.
//!
//! A side asks its target to hold runs until a time on the target's clock, which may be slow by two in a hundred. After
//! half a minute without work the side's reading was half a second ahead, and so were the holds that it asked for: when
//! the side died then, its target ran on for longer than the entry waits before it starts a task again elsewhere.

use std::time::Duration;

use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_side_that_dies_after_a_quiet_time_leaves_no_run_behind() {
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
                down: millis(3_000),
            };
            let at = millis(40_030 + 10 * seed);
            system.plan(JobFaultPlan { at, fault });
        }
        system.run_until(Duration::from_secs(55));
        assert_eq!(system.violations(), [], "seed {seed}");
    }
}
