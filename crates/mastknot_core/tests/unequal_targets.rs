//! Which of two targets of different speed a task goes to.

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
/// A task takes so long on the middle of both targets, in milliseconds.
const WORK_MS: u64 = 400;
/// Callers wait for longer than any target takes.
const PATIENT_MS: u64 = 2_000;
/// They don't wait for as long as the slow target takes.
const HASTY_MS: u64 = 520;

fn pace(class: &str, log_ratio: f64) -> LearnedSlowdown {
    LearnedSlowdown {
        queue: Arc::from("queue"),
        class: Arc::from(class),
        runs: 400,
        log_ratio,
    }
}

fn tell(entry: &mut Entry, side: u64, class: &str, free: u32, hidden: u32) {
    let target = TargetProfile {
        labels: vec![Arc::from(class)],
        ..target_profile(side)
    };
    let hidden = Capacity {
        cpu_millis: hidden,
        ..Capacity::default()
    };
    let status = SideStatus {
        target: Some(target),
        withheld: hidden,
        ..entry.next_status(free)
    };
    entry.reports(1, side, vec![SideReport::Status(status)]);
}

/// An entry that knows how fast its two targets are; of the fast one some room is its own, and some is hidden from it.
fn entry(free: u32, hidden: u32) -> Entry {
    let mut entry = Entry::with_sides(&[16_000, 16_000]);
    tell(&mut entry, FAST, "fast", free, hidden);
    tell(&mut entry, SLOW, "slow", 16_000, 0);
    let profile = LearnedProfile {
        written_ms: WRITTEN,
        slowdowns: vec![pace("fast", -0.3), pace("slow", 0.3)],
        ..LearnedProfile::default()
    };
    let event = SchedulerEvent::Learned {
        profile: Arc::new(profile),
        wall: WallTime::from_millis(WRITTEN + 1_000),
    };
    entry.scheduler.step(at(5), event);
    entry
}

/// Where a task goes whose caller waits for so long.
fn place(mut entry: Entry, left_ms: u64) -> u64 {
    let effects = entry.submit_ranked(10, 1, job(1, 1, WORK_MS), left_ms);
    starts(&effects)[0].0
}

#[test]
fn a_full_fast_target_leaves_work_to_a_slow_one_that_is_in_time() {
    assert_eq!(place(entry(4_800, 0), PATIENT_MS), SLOW);
}

/// What callers saw: long jobs were late with room free, where room is granted. Each entry saw of a fast target what was
/// granted to it, and took the rest for used.
#[test]
fn room_that_is_hidden_makes_no_target_full() {
    assert_eq!(place(entry(1_600, 0), PATIENT_MS), SLOW);
    assert_eq!(place(entry(1_600, 12_800), PATIENT_MS), FAST);
}

/// What a caller saw: its job timed out three times in a row, each time on slow targets that were in time for the
/// objective, which lay beyond its deadline.
#[test]
fn a_task_is_in_time_only_if_its_caller_still_waits() {
    assert_eq!(place(entry(4_800, 0), HASTY_MS), FAST);
}
