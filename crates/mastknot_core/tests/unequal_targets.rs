//! Choice between two targets of different speed for a task.

mod common;

use std::sync::Arc;

use common::entry::*;
use mastknot_core::job::{
    Capacity, LearnedProfile, LearnedSlowdown, SideReport, SideStatus, TargetProfile,
};
use mastknot_core::scheduler::SchedulerEvent;
use mastknot_core::types::WallTime;

const FAST: u64 = 0;
const SLOW: u64 = 1;
const WRITTEN: u64 = 1_700_000_000_000;
/// Time that a task takes on average over both targets, in milliseconds.
const WORK_MS: u64 = 400;
/// Time that callers wait, in milliseconds: longer than either target takes.
const LONG_WAIT_MS: u64 = 2_000;
/// Time that callers wait, in milliseconds: less than the slow target takes.
const SHORT_WAIT_MS: u64 = 520;

fn slowdown(class: &str, log_ratio: f64) -> LearnedSlowdown {
    LearnedSlowdown {
        queue: Arc::from("queue"),
        class: Arc::from(class),
        runs: 400,
        log_ratio,
    }
}

fn report(entry: &mut Entry, side: u64, class: &str, free: u32, withheld: u32) {
    let target = TargetProfile {
        labels: vec![Arc::from(class)],
        ..target_profile(side)
    };
    let withheld = Capacity {
        cpu_millis: withheld,
        ..Capacity::default()
    };
    let status = SideStatus {
        target: Some(target),
        withheld,
        ..entry.next_status(free)
    };
    entry.reports(1, side, vec![SideReport::Status(status)]);
}

/// Returns an entry that knows the slowdown of its two targets; `free` of the fast one's capacity is offered to it
/// and `withheld` is kept back from it.
fn entry(free: u32, withheld: u32) -> Entry {
    let mut entry = Entry::with_sides(&[16_000, 16_000]);
    report(&mut entry, FAST, "fast", free, withheld);
    report(&mut entry, SLOW, "slow", 16_000, 0);
    let profile = LearnedProfile {
        written_ms: WRITTEN,
        slowdowns: vec![slowdown("fast", -0.3), slowdown("slow", 0.3)],
        ..LearnedProfile::default()
    };
    let event = SchedulerEvent::Learned {
        profile: Arc::new(profile),
        wall: WallTime::from_millis(WRITTEN + 1_000),
    };
    entry.scheduler.step(at(5), event);
    entry
}

/// Returns the side of a task whose caller waits for this time.
fn side_of_start(mut entry: Entry, left_ms: u64) -> u64 {
    let effects = entry.submit_ranked(10, 1, job(1, 1, WORK_MS), left_ms);
    starts(&effects)[0].0
}

#[test]
fn a_full_fast_target_leaves_work_to_a_slow_one_that_is_in_time() {
    assert_eq!(side_of_start(entry(4_800, 0), LONG_WAIT_MS), SLOW);
}

/// Long jobs used to be late with capacity free, where capacity is granted: each entry saw of a fast target only the
/// capacity granted to it and took the rest for used.
#[test]
fn withheld_capacity_does_not_count_as_used() {
    assert_eq!(side_of_start(entry(1_600, 0), LONG_WAIT_MS), SLOW);
    assert_eq!(side_of_start(entry(1_600, 12_800), LONG_WAIT_MS), FAST);
}

/// A job used to time out three times in a row, each time on slow targets that could meet the latency objective,
/// which lay beyond the caller's deadline.
#[test]
fn a_task_is_in_time_only_if_its_caller_still_waits() {
    assert_eq!(side_of_start(entry(4_800, 0), SHORT_WAIT_MS), FAST);
}
