//! Writing of the learned profile: which entry writes it and when, and how the store's answers are handled.

use std::sync::Arc;
use std::time::Duration;

use mastknot_core::job::{
    LearnedProfile, LearnedRunTimes, LearnedSlowdown, LearnedSuspect, TaskKind,
};
use mastknot_core::profile::{
    ProfileCall, ProfileLedger, ProfileOffer, ProfileRead, ProfileUpdate, ProfileWrite,
    ProfileWriteSchedule, profile_update,
};
use mastknot_core::types::Moment;

const WRITTEN: u64 = 1_700_000_000_000;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn slowdown(class: &str, runs: u32, log_ratio: f64) -> LearnedSlowdown {
    LearnedSlowdown {
        queue: Arc::from("queue"),
        class: Arc::from(class),
        runs,
        log_ratio,
    }
}

fn times(log_run_time: f64) -> LearnedRunTimes {
    LearnedRunTimes {
        queue: Arc::from("queue"),
        steps: 64,
        log_estimate: 0.0,
        log_run_time,
        estimate_variance: 0.1,
        covariance: 0.1,
    }
}

fn suspect(number: u32) -> LearnedSuspect {
    LearnedSuspect {
        kind: TaskKind(number),
        crashed_after_ms: 10,
        share_per_mille: 200,
        crashed_sides: Vec::new(),
    }
}

fn written() -> LearnedProfile {
    LearnedProfile {
        written_ms: WRITTEN,
        slowdowns: vec![slowdown("fast", 64, -0.3)],
        run_times: vec![times(0.2)],
        suspects: vec![suspect(1)],
    }
}

/// Returns the update that this change of the written profile makes necessary, if any.
fn update_after(change: impl Fn(&mut LearnedProfile)) -> Option<ProfileUpdate> {
    let mut own_profile = written();
    change(&mut own_profile);
    profile_update(Some(&written()), &own_profile, true)
}

#[test]
fn small_changes_need_no_write() {
    assert_eq!(update_after(|_| {}), None);
    assert_eq!(update_after(|own| own.slowdowns[0].log_ratio -= 0.2), None);
    assert_eq!(update_after(|own| own.slowdowns[0].runs = 9_000), None);
    assert_eq!(
        update_after(|own| own.run_times[0].log_run_time += 0.2),
        None
    );
    assert_eq!(update_after(|own| own.slowdowns.clear()), None);
    assert_eq!(
        update_after(|own| own.slowdowns.push(slowdown("new", 15, 1.0))),
        None
    );
}

#[test]
fn large_changes_need_a_write() {
    let slowdown_update = Some(ProfileUpdate::Slowdown);
    assert_eq!(
        update_after(|own| own.slowdowns[0].log_ratio -= 0.25),
        slowdown_update
    );
    assert_eq!(
        update_after(|own| own.run_times[0].log_run_time += 0.25),
        slowdown_update
    );
    assert_eq!(
        update_after(|own| own.slowdowns.push(slowdown("new", 16, 0.0))),
        slowdown_update
    );
    let hour = 60 * 60 * 1_000;
    assert_eq!(update_after(|own| own.written_ms += hour), slowdown_update);
    let suspects = Some(ProfileUpdate::Suspect);
    assert_eq!(update_after(|own| own.suspects.push(suspect(2))), suspects);
    assert_eq!(update_after(|own| own.suspects.clear()), suspects);
}

#[test]
fn an_entry_without_own_slowdowns_writes_suspects_only() {
    let own_profile = LearnedProfile {
        suspects: Vec::new(),
        ..written()
    };
    assert_eq!(profile_update(None, &own_profile, false), None);
    assert_eq!(
        profile_update(None, &own_profile, true),
        Some(ProfileUpdate::Slowdown)
    );
    let update = profile_update(None, &written(), false);
    assert_eq!(update, Some(ProfileUpdate::Suspect));
}

/// Returns the seconds after `from` at which an entry of this rank, with this update every second, first writes.
fn first_write(
    mut schedule: ProfileWriteSchedule,
    from: u64,
    update: ProfileUpdate,
    writer_rank: usize,
) -> u64 {
    let mut seconds = from..10_000;
    let due = seconds.find(|second| schedule.is_due(at(*second), Some(update), writer_rank, None));
    due.expect("the entry writes in the end") - from
}

#[test]
fn the_first_entry_writes_a_suspect_at_once_and_the_next_if_it_does_not() {
    let schedule = ProfileWriteSchedule::default();
    assert_eq!(first_write(schedule, 5, ProfileUpdate::Suspect, 0), 0);
    assert_eq!(first_write(schedule, 5, ProfileUpdate::Suspect, 1), 30);
    assert_eq!(first_write(schedule, 5, ProfileUpdate::Suspect, 2), 60);
}

#[test]
fn slowdowns_must_last_before_they_are_written() {
    let schedule = ProfileWriteSchedule::default();
    assert_eq!(first_write(schedule, 5, ProfileUpdate::Slowdown, 0), 15);
    assert_eq!(first_write(schedule, 5, ProfileUpdate::Slowdown, 1), 315);
}

#[test]
fn writes_have_a_minimum_interval() {
    let mut schedule = ProfileWriteSchedule::default();
    schedule.record_change(at(100));
    assert_eq!(first_write(schedule, 101, ProfileUpdate::Suspect, 0), 9);
    assert_eq!(first_write(schedule, 101, ProfileUpdate::Slowdown, 0), 59);
    // An earlier process wrote the document: only the document's age is known.
    let mut schedule = ProfileWriteSchedule::default();
    let update = Some(ProfileUpdate::Suspect);
    assert!(!schedule.is_due(at(1), update, 0, Some(Duration::from_secs(9))));
    assert!(schedule.is_due(at(2), update, 0, Some(Duration::from_secs(10))));
}

#[test]
fn a_suspect_does_not_wait_for_slowdowns_that_are_not_due_yet() {
    let mut schedule = ProfileWriteSchedule::default();
    assert!(!schedule.is_due(at(1), Some(ProfileUpdate::Slowdown), 0, None));
    assert!(schedule.is_due(at(2), Some(ProfileUpdate::Suspect), 0, None));
}

fn offer(second: u64, number: u32) -> Option<ProfileOffer> {
    let profile = LearnedProfile {
        written_ms: WRITTEN + second * 1_000,
        suspects: vec![suspect(number)],
        ..written()
    };
    Some(ProfileOffer {
        profile,
        update: ProfileUpdate::Suspect,
        writer_rank: 0,
    })
}

fn next(ledger: &mut ProfileLedger, second: u64, number: u32) -> Option<ProfileCall> {
    ledger
        .next(at(second), offer(second, number))
        .expect("a call")
}

fn value(call: Option<ProfileCall>) -> (Vec<u8>, u64) {
    match call {
        Some(ProfileCall::Write { value, expected }) => (value, expected),
        other => panic!("no write: {other:?}"),
    }
}

/// Returns a ledger that has read the store and found no document.
fn empty() -> ProfileLedger {
    let mut ledger = ProfileLedger::default();
    assert_eq!(next(&mut ledger, 0, 1), Some(ProfileCall::Read));
    assert!(matches!(
        ledger.record_read(at(0), None),
        ProfileRead::Absent
    ));
    ledger
}

#[test]
fn nothing_is_written_before_the_document_was_read() {
    let mut ledger = ProfileLedger::default();
    assert_eq!(next(&mut ledger, 0, 1), Some(ProfileCall::Read));
    ledger.record_read_failure(at(0));
    assert_eq!(next(&mut ledger, 0, 1), None);
    assert_eq!(next(&mut ledger, 1, 1), Some(ProfileCall::Read));
}

#[test]
fn a_store_that_is_down_for_an_hour_is_asked_once_a_minute() {
    let mut ledger = ProfileLedger::default();
    let mut calls = 0;
    for second in 0..3_600 {
        if next(&mut ledger, second, 1).is_some() {
            calls += 1;
            ledger.record_read_failure(at(second));
        }
    }
    assert!((50..70).contains(&calls), "{calls}");
}

#[test]
fn a_write_names_the_revision_that_was_seen() {
    let mut ledger = empty();
    let (_, expected) = value(next(&mut ledger, 1, 1));
    assert_eq!(expected, 0);
    ledger.record_write(at(1), ProfileWrite::Done { revision: 7 });
    assert_eq!(next(&mut ledger, 5, 2), None);
    let (_, expected) = value(next(&mut ledger, 11, 2));
    assert_eq!(expected, 7);
}

#[test]
fn a_lost_answer_is_read_back() {
    let mut ledger = empty();
    let (sent, _) = value(next(&mut ledger, 1, 1));
    ledger.record_write(at(1), ProfileWrite::Unanswered);
    assert_eq!(next(&mut ledger, 2, 1), Some(ProfileCall::Read));
    let read = ledger.record_read(at(2), Some((7, &sent)));
    assert!(matches!(read, ProfileRead::Known), "{read:?}");
    assert_eq!(
        ledger.known().map(|known| known.suspects[0].clone()),
        Some(suspect(1))
    );
}

#[test]
fn a_write_that_was_lost_is_made_again() {
    let mut ledger = empty();
    let (sent, _) = value(next(&mut ledger, 1, 1));
    ledger.record_write(at(1), ProfileWrite::Unanswered);
    assert_eq!(next(&mut ledger, 2, 1), Some(ProfileCall::Read));
    assert!(matches!(
        ledger.record_read(at(2), None),
        ProfileRead::Absent
    ));
    let (again, expected) = value(next(&mut ledger, 3, 1));
    assert_eq!((again.len(), expected), (sent.len(), 0));
}

#[test]
fn the_second_writer_applies_what_the_first_has_written() {
    let mut ledger = empty();
    value(next(&mut ledger, 1, 1));
    ledger.record_write(at(1), ProfileWrite::Changed);
    assert_eq!(next(&mut ledger, 2, 1), Some(ProfileCall::Read));
    let other = written().encode().expect("bytes");
    match ledger.record_read(at(2), Some((9, &other))) {
        ProfileRead::Update(profile) => assert_eq!(*profile, written()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_unreadable_document_is_overwritten_under_its_revision() {
    let mut ledger = ProfileLedger::default();
    assert_eq!(next(&mut ledger, 0, 1), Some(ProfileCall::Read));
    let read = ledger.record_read(at(0), Some((4, b"rubbish that nobody knows")));
    assert!(matches!(read, ProfileRead::NotTaken(_)), "{read:?}");
    assert_eq!(value(next(&mut ledger, 1, 1)).1, 4);
}

#[test]
fn a_document_of_a_clock_that_is_ahead_delays_no_write() {
    let mut ledger = ProfileLedger::default();
    assert_eq!(next(&mut ledger, 0, 1), Some(ProfileCall::Read));
    let ahead = LearnedProfile {
        written_ms: WRITTEN + 1_000_000_000,
        ..written()
    };
    let bytes = ahead.encode().expect("bytes");
    let read = ledger.record_read(at(0), Some((4, &bytes)));
    assert!(matches!(read, ProfileRead::Update(_)), "{read:?}");
    assert_eq!(value(next(&mut ledger, 1, 2)).1, 4);
}
