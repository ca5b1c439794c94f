//! Checks that the audit detects violations: each test switches off one protection and expects a violation.

mod common;

use std::time::Duration;

use common::{is_complete, job, key_held_by, system};
use mastknot_core::config::{ConfigWrite, WriteCall, WriteStep};
use mastknot_core::entry::DisabledCheck;
use mastknot_virtual::{Violation, VirtualSystem};

/// Submits a job to entry 1, which owns its key, kills that entry and submits the job again to entry 0.
fn resubmit_after_owner_loss(system: &mut VirtualSystem) {
    let key = key_held_by(system, 1);
    system.submit(1, job(key, 3, 100));
    system.run_for(Duration::from_secs(1));
    system.kill_entry(1);
    system.run_for(Duration::from_secs(4));
    system.submit(0, job(key, 3, 100));
    system.run_for(Duration::from_secs(4));
}

fn has_started_twice(system: &VirtualSystem) -> bool {
    let is_double = |violation: &Violation| matches!(violation, Violation::StartedTwice(_));
    system.audit.violations().iter().any(is_double)
}

#[test]
fn an_owner_that_ignores_earlier_owners_is_detected() {
    let mut correct = system(2, 2, 4, 3);
    resubmit_after_owner_loss(&mut correct);
    assert!(!has_started_twice(&correct));

    let mut broken = system(2, 2, 4, 3);
    let entry = broken.entry_mut(0).unwrap();
    entry.disable_check(DisabledCheck::EarlierOwners);
    resubmit_after_owner_loss(&mut broken);
    assert!(has_started_twice(&broken));
}

#[test]
fn a_disabled_resubmission_check_is_detected() {
    let mut broken = system(1, 2, 4, 4);
    let entry = broken.entry_mut(0).unwrap();
    entry.disable_check(DisabledCheck::Resubmission);
    let key = broken.new_key();
    broken.submit(0, job(key, 3, 100));
    broken.run_for(Duration::from_secs(1));
    // The side that ran a task drops a second start of it. With that side gone, the task starts on the other one.
    broken.kill_side(0);
    broken.submit(0, job(key, 3, 100));
    broken.run_for(Duration::from_secs(2));
    assert!(has_started_twice(&broken));
}

/// Plays two operators that write at once, where the first one's answer is lost and the second one's write takes
/// effect. Returns the outcome that the first operator sees.
fn lost_answer_behind_another_write(first_nonce: &str, second_nonce: &str) -> WriteStep {
    let mut ours = ConfigWrite::new(4, Some("base".into()), first_nonce, Some(1.into()));
    let theirs = ConfigWrite::new(4, Some("base".into()), second_nonce, Some(2.into()));
    let WriteStep::Swap { resource, .. } = theirs.first() else {
        panic!("the first step is a swap");
    };
    assert_eq!(
        ours.on_call_result(WriteCall::NoAnswer),
        WriteStep::ReadBack
    );
    ours.on_read_back(Some((5, resource)))
}

#[test]
fn writes_without_unique_nonces_are_detected() {
    let correct = lost_answer_behind_another_write("ours", "theirs");
    assert!(matches!(correct, WriteStep::Conflict(_)), "{correct:?}");

    let broken = lost_answer_behind_another_write("same", "same");
    assert_eq!(
        broken,
        WriteStep::Accepted(5),
        "the write is reported as accepted although the store holds the other operator's value"
    );
}

#[test]
fn the_correct_system_answers_a_resubmission_without_a_second_run() {
    let mut correct = system(1, 2, 4, 4);
    let key = correct.new_key();
    let first = correct.submit(0, job(key, 3, 100));
    correct.run_for(Duration::from_secs(1));
    let second = correct.submit(0, job(key, 3, 100));
    correct.run_for(Duration::from_secs(2));
    assert!(is_complete(correct.reply(first)));
    assert_eq!(correct.reply(first), correct.reply(second));
    assert_eq!(correct.audit.total_starts(), 3);
}
