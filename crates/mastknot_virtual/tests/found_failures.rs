//! One test for each failure that the fault matrix, the random histories or a run has found.

mod common;

use std::time::Duration;

use common::{assert_kept, is_complete, job, key_held_by, request, system};
use mastknot_core::message::{Ran, RefusalReason, Reply};
use mastknot_virtual::{FaultRule, MessageFault, MessageKind};

/// Guards against a busy loop: with a slow store and an expired authority, the next tick was always due immediately.
#[test]
fn an_expired_authority_causes_no_busy_loop() {
    let mut system = system(2, 1, 2, 1);
    system.store.faults.extra_delay = Duration::from_secs(5);
    system.partition("h1", "h2");
    system.run_for(Duration::from_secs(2));
    let now = mastknot_core::types::Moment::from_micros(system.now());
    let entry = system.entry(0).unwrap();
    assert!(!entry.membership().is_fresh(now));
    let before = system.steps();
    system.run_for(Duration::from_secs(2));
    let steps = system.steps() - before;
    assert!(
        steps < 2_000,
        "{steps} steps in two seconds of doing nothing"
    );
}

/// Guards against a caller without an answer when the owner of a forwarded request never replies.
#[test]
fn a_lost_forward_is_answered_as_unknown() {
    let mut system = system(2, 1, 2, 2);
    let key = key_held_by(&mut system, 1);
    system.add_rule(FaultRule {
        kind: MessageKind::Forward,
        fault: MessageFault::Lost,
        count: 1,
    });
    let mut submission = request(key, "pay", 20);
    submission.deadline_ms = 1_000;
    let request = system.submit(0, submission);
    system.run_for(Duration::from_secs(3));
    let Some(Reply::Refused(refusal)) = system.reply(request) else {
        panic!("{:?}", system.reply(request));
    };
    assert_eq!(refusal.reason, RefusalReason::HolderLost);
    assert_eq!(refusal.ran, Ran::Unknown);
    assert_kept(&system);
}

/// Guards against a false "not run" from an entry that can't reach the owner of a key that has run before.
#[test]
fn only_an_owner_with_authority_replies_not_run() {
    let mut system = system(3, 2, 4, 3);
    let key = key_held_by(&mut system, 1);
    let first = system.submit(1, job(key, 2, 50));
    system.run_for(Duration::from_secs(1));
    assert!(is_complete(system.reply(first)));
    system.kill_entry(1);
    let resubmitted = system.submit(0, job(key, 2, 50));
    system.run_for(Duration::from_secs(1));
    let Some(Reply::Refused(refusal)) = system.reply(resubmitted) else {
        panic!("{:?}", system.reply(resubmitted));
    };
    assert_eq!(refusal.ran, Ran::Unknown);
    assert_kept(&system);
}

/// Guards against slots that stay unused: with one entry, expired credits were forgotten and never requested again.
#[test]
fn expired_credits_are_requested_again() {
    let mut system = system(1, 2, 8, 4);
    system.run_for(Duration::from_secs(60));
    let key = system.new_key();
    let request = system.submit(0, job(key, 16, 100));
    system.run_for(Duration::from_millis(400));
    assert!(
        is_complete(system.reply(request)),
        "all 16 slots run at once"
    );
    assert_kept(&system);
}

/// A resubmission after the owner's failure is answered from the results that sides remember.
#[test]
fn a_lost_owners_answer_is_rebuilt_from_the_sides() {
    let mut system = system(2, 2, 4, 5);
    let key = key_held_by(&mut system, 1);
    system.submit(1, job(key, 3, 50));
    system.run_for(Duration::from_secs(1));
    system.kill_entry(1);
    system.run_for(Duration::from_secs(4));
    let resubmitted = system.submit(0, job(key, 3, 50));
    system.run_for(Duration::from_secs(2));
    assert!(
        is_complete(system.reply(resubmitted)),
        "{:?}",
        system.reply(resubmitted)
    );
    assert_eq!(system.audit.total_starts(), 3);
    assert_kept(&system);
}

/// A planned stop hands the ledger over, so that no resubmission runs again or is refused.
#[test]
fn a_planned_stop_refuses_nothing_and_hands_its_answers_over() {
    let mut system = system(2, 2, 4, 6);
    let key = key_held_by(&mut system, 1);
    let first = system.submit(1, job(key, 3, 400));
    system.run_for(Duration::from_millis(100));
    system.stop_entry(1);
    system.run_for(Duration::from_secs(3));
    assert!(system.has_stopped(1));
    assert!(
        is_complete(system.reply(first)),
        "jobs in flight are completed"
    );
    let resubmitted = system.submit(0, job(key, 3, 400));
    let new_key = system.new_key();
    let new = system.submit(0, job(new_key, 3, 50));
    system.run_for(Duration::from_secs(2));
    assert_eq!(system.reply(first), system.reply(resubmitted));
    assert!(is_complete(system.reply(new)));
    assert_eq!(system.audit.total_starts(), 6);
    assert_kept(&system);
}

/// Guards against a resubmission that waits until its deadline for an answer of an earlier owner that is paused.
#[test]
fn a_paused_earlier_owner_is_not_waited_for() {
    let mut system = system(3, 2, 4, 7);
    let key = key_held_by(&mut system, 1);
    let first = system.submit(1, job(key, 3, 50));
    system.run_for(Duration::from_secs(1));
    assert!(is_complete(system.reply(first)));
    system.pause_entry(1, Duration::from_secs(30));
    system.run_for(Duration::from_secs(6));
    let resubmitted = system.submit(0, job(key, 3, 50));
    system.run_for(Duration::from_secs(1));
    assert_eq!(system.reply(resubmitted), system.reply(first));
    assert_eq!(system.audit.total_starts(), 3);
    assert_kept(&system);
}
