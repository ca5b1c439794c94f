//! Tests of the tests: with a protection switched off, the audit must notice.

mod common;

use std::time::Duration;

use common::{is_complete, job, key_held_by, system};
use mastknot_core::config::{ConfigWrite, WriteCall, WriteStep};
use mastknot_core::entry::DisabledCheck;
use mastknot_virtual::{Violation, VirtualSystem};

/// Submits a job to entry 0, loses its holder, entry 1, and submits it again.
fn resubmit_after_a_loss(system: &mut VirtualSystem) {
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
fn a_holder_that_ignores_earlier_holders_is_caught() {
    let mut sound = system(2, 2, 4, 3);
    resubmit_after_a_loss(&mut sound);
    assert!(!has_started_twice(&sound));

    let mut broken = system(2, 2, 4, 3);
    let entry = broken.entry_mut(0).unwrap();
    entry.disable_check(DisabledCheck::EarlierOwners);
    resubmit_after_a_loss(&mut broken);
    assert!(has_started_twice(&broken));
}

#[test]
fn a_forgotten_ledger_is_caught() {
    let mut broken = system(1, 2, 4, 4);
    let entry = broken.entry_mut(0).unwrap();
    entry.disable_check(DisabledCheck::Resubmission);
    let key = broken.new_key();
    broken.submit(0, job(key, 3, 100));
    broken.run_for(Duration::from_secs(1));
    // The side that ran a task would drop a second start of it: it must go to the other one.
    broken.kill_side(0);
    broken.submit(0, job(key, 3, 100));
    broken.run_for(Duration::from_secs(2));
    assert!(has_started_twice(&broken));
}

/// Two operators write at once, and the first one's answer is lost after the second's write took
/// effect. Says what the first is told.
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
fn writes_without_a_nonce_of_their_own_are_caught() {
    let sound = lost_answer_behind_another_write("ours", "theirs");
    assert!(matches!(sound, WriteStep::Conflict(_)), "{sound:?}");

    let broken = lost_answer_behind_another_write("same", "same");
    assert_eq!(
        broken,
        WriteStep::Accepted(5),
        "and yet the store holds the other's value"
    );
}

#[test]
fn the_sound_system_answers_what_the_broken_ones_run_twice() {
    let mut sound = system(1, 2, 4, 4);
    let key = sound.new_key();
    let first = sound.submit(0, job(key, 3, 100));
    sound.run_for(Duration::from_secs(1));
    let second = sound.submit(0, job(key, 3, 100));
    sound.run_for(Duration::from_secs(2));
    assert!(is_complete(sound.reply(first)));
    assert_eq!(sound.reply(first), sound.reply(second));
    assert_eq!(sound.audit.total_starts(), 3);
}
