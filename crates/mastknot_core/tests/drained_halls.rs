//! Halls that operators drain: how sides and entries handle the updates, in whatever order these arrive.

mod common;

use std::sync::Arc;

use common::entry::{self, Entry};
use common::side::{self, ENTRY, OTHER, Side};
use mastknot_core::agent::{AgentEffect, AgentEvent};
use mastknot_core::job::{
    DrainedHalls, EndOfRun, EntryOrder, EntryUpdate, JobAnswer, NotRunCause, SideReport,
    SideStatus, TargetCondition,
};
use mastknot_core::scheduler::{SchedulerEffect, SchedulerEvent, SessionId};

/// Hall of the side under test; [`FAR`] is another hall.
const OWN: &str = "hall";
const FAR: &str = "hall-2";

fn drained(revision: u64, halls: &[&str]) -> DrainedHalls {
    DrainedHalls {
        revision,
        halls: halls.iter().map(|hall| (*hall).into()).collect(),
    }
}

/// Returns a heartbeat that carries the drained halls.
fn heartbeat_with(revision: u64, halls: &[&str]) -> EntryOrder {
    EntryOrder::Heartbeat {
        last_received: 0,
        need: None,
        update: Some(EntryUpdate {
            drained: Arc::new(drained(revision, halls)),
            ..EntryUpdate::default()
        }),
    }
}

fn orders(effects: &[AgentEffect]) -> usize {
    let orders = effects.iter();
    orders
        .filter(|effect| matches!(effect, AgentEffect::Order { .. }))
        .count()
}

/// Returns the drained halls that a side reported on a link.
fn reported(effects: &[AgentEffect], link: mastknot_core::agent::SessionId) -> Vec<DrainedHalls> {
    let reported = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session,
            report: SideReport::Status(status),
        } if *session == link => status.drained.clone(),
        _ => None,
    });
    reported.map(|drained| (*drained).clone()).collect()
}

#[test]
fn a_side_turns_starts_away_from_the_moment_it_knows() {
    let mut side = Side::ready();
    assert_eq!(orders(&side.order(1_010, ENTRY, side::start(1, 1_000))), 1);
    side.order(1_020, ENTRY, heartbeat_with(5, &[OWN]));
    let effects = side.order(1_020, ENTRY, side::start(2, 1_000));
    assert_eq!(orders(&effects), 0);
    assert_eq!(side.agent.condition(), TargetCondition::Draining);
    assert_eq!(side.agent.runs().len(), 1, "runs under way continue");
    let ended = effects.iter().find_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Status(status),
            ..
        } => status.ended.first().copied(),
        _ => None,
    });
    let ended = ended.expect("the entry is notified at once");
    assert_eq!(ended.end, EndOfRun::NotRun(NotRunCause::Draining));
}

#[test]
fn a_start_behind_the_update_in_one_delivery_is_turned_away() {
    let mut side = Side::ready();
    let effects = side.step(
        1_010,
        AgentEvent::FromEntry {
            session: ENTRY,
            orders: vec![heartbeat_with(5, &[OWN]), side::start(1, 1_000)],
        },
    );
    assert_eq!(orders(&effects), 0);
}

#[test]
fn a_returned_hall_takes_work_again_and_an_older_update_changes_nothing() {
    let mut side = Side::ready();
    side.order(1_010, ENTRY, heartbeat_with(5, &[OWN]));
    side.order(1_020, ENTRY, heartbeat_with(9, &[]));
    assert_eq!(orders(&side.order(1_030, ENTRY, side::start(1, 500))), 1);
    side.order(1_040, ENTRY, heartbeat_with(7, &[OWN, FAR]));
    assert_eq!(orders(&side.order(1_050, ENTRY, side::start(2, 500))), 1);
    side.order(1_060, ENTRY, heartbeat_with(12, &[OWN]));
    side.order(1_070, ENTRY, heartbeat_with(11, &[]));
    assert_eq!(orders(&side.order(1_080, ENTRY, side::start(3, 500))), 0);
}

#[test]
fn a_side_ignores_the_drain_of_another_hall() {
    let mut side = Side::ready();
    side.order(
        1_010,
        ENTRY,
        heartbeat_with(5, &[FAR, "hall-that-nobody-knows"]),
    );
    assert_eq!(orders(&side.order(1_020, ENTRY, side::start(1, 1_000))), 1);
}

#[test]
fn capacity_reserved_for_an_entry_is_not_usable_in_a_drained_hall() {
    let mut side = Side::ready();
    let need = EntryOrder::Heartbeat {
        last_received: 0,
        need: Some(mastknot_core::job::WaitingNeed {
            rank: 0,
            required_capacity: side::cpu(4_000),
            smallest_task: side::cpu(1_000),
            ..mastknot_core::job::WaitingNeed::default()
        }),
        update: None,
    };
    side.order(1_010, ENTRY, need);
    side.join(1_012, OTHER, "entry-2", 1);
    side.order(1_014, OTHER, heartbeat_with(5, &[OWN]));
    assert_eq!(orders(&side.order(1_016, ENTRY, side::start(1, 1_000))), 0);
}

/// The side probes for an order without an answer and does not send it again, so nothing of it starts after the hall
/// is drained.
#[test]
fn an_order_without_an_answer_is_not_repeated() {
    let mut side = Side::ready();
    side.order(1_010, ENTRY, side::start(1, 1_000));
    side.order(1_020, ENTRY, heartbeat_with(5, &[OWN]));
    let unanswered = AgentEvent::OrderAnswered {
        run: side::run(1),
        outcome: mastknot_core::agent::OrderOutcome::NoAnswer,
    };
    let mut effects = side.step(1_060, unanswered);
    for ms in (1_061..1_400).step_by(20) {
        effects.extend(side.order(ms, ENTRY, heartbeat_with(5, &[OWN])));
    }
    assert_eq!(orders(&effects), 0);
}

/// An entry that is disconnected from the store learns of drained halls from sides that other entries have informed,
/// even over links on standby.
#[test]
fn a_side_passes_the_update_on_to_entries_that_have_not_sent_it() {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    side.order(1_005, OTHER, EntryOrder::Standby);
    let mut effects = side.order(1_010, ENTRY, heartbeat_with(5, &[FAR]));
    effects.extend(side.step(1_060, AgentEvent::Tick));
    assert_eq!(reported(&effects, OTHER), [drained(5, &[FAR])]);
    assert_eq!(
        reported(&effects, ENTRY),
        [],
        "this entry sent the update itself"
    );
}

#[test]
fn the_hello_on_a_new_link_carries_the_drained_halls() {
    let mut side = Side::ready();
    side.order(1_010, ENTRY, heartbeat_with(5, &[FAR]));
    let effects = side.step(1_020, AgentEvent::LinkUp { session: OTHER });
    let hello = effects.iter().find_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Hello(hello),
            ..
        } => Some(hello.drained.revision),
        _ => None,
    });
    assert_eq!(hello, Some(5));
}

fn from_store(entry: &mut Entry, ms: u64, known: DrainedHalls) -> Vec<SchedulerEffect> {
    let event = SchedulerEvent::DrainedHalls(Arc::new(known));
    entry.scheduler.step(entry::at(ms), event)
}

/// Returns an entry with two sides, one in each hall.
fn entry_with_halls(free: u32) -> Entry {
    let mut entry = Entry::with_sides(&[]);
    entry.join_in(OWN, DrainedHalls::default(), 0, 0, free);
    entry.join_in(FAR, DrainedHalls::default(), 0, 1, free);
    entry
}

fn sides_of_starts(effects: &[SchedulerEffect]) -> Vec<u64> {
    let starts = entry::starts(effects);
    starts.iter().map(|(side, _)| *side).collect()
}

#[test]
fn an_entry_places_nothing_in_a_drained_hall_until_it_is_returned() {
    let mut entry = entry_with_halls(16_000);
    from_store(&mut entry, 5, drained(3, &[OWN]));
    let effects = entry.submit(10, 1, entry::job(1, 4, 60), 2_000);
    assert_eq!(sides_of_starts(&effects), [1; 4]);
    from_store(&mut entry, 20, drained(4, &[]));
    from_store(&mut entry, 21, drained(3, &[OWN]));
    let effects = entry.submit(30, 2, entry::job(2, 4, 60), 2_000);
    assert!(sides_of_starts(&effects).contains(&0), "{effects:?}");
}

#[test]
fn every_linked_side_is_notified_at_once() {
    let mut entry = entry_with_halls(16_000);
    let effects = from_store(&mut entry, 5, drained(3, &[OWN]));
    let reported = effects.iter().filter_map(|effect| match effect {
        SchedulerEffect::Send {
            session,
            order:
                EntryOrder::Heartbeat {
                    update: Some(update),
                    ..
                },
        } => Some((*session, update.drained.revision)),
        _ => None,
    });
    let reported: Vec<(SessionId, u64)> = reported.collect();
    assert_eq!(reported, [(SessionId(0), 3), (SessionId(1), 3)]);
}

#[test]
fn an_entry_applies_drained_halls_that_a_side_reports() {
    for is_in_hello in [true, false] {
        let mut entry = entry_with_halls(16_000);
        match is_in_hello {
            true => entry.join_in(FAR, drained(8, &[OWN]), 5, 2, 16_000),
            false => {
                let status = SideStatus {
                    drained: Some(Arc::new(drained(8, &[OWN]))),
                    ..entry.next_status(16_000)
                };
                entry.reports(5, 1, vec![SideReport::Status(status)]);
            }
        }
        let effects = entry.submit(10, 1, entry::job(1, 4, 60), 2_000);
        assert!(!sides_of_starts(&effects).contains(&0), "{effects:?}");
    }
}

#[test]
fn a_side_that_joins_from_a_drained_hall_gets_nothing() {
    let mut entry = entry_with_halls(16_000);
    from_store(&mut entry, 5, drained(3, &[OWN]));
    entry.join_in(OWN, DrainedHalls::default(), 6, 2, 16_000);
    let effects = entry.submit(10, 1, entry::job(1, 8, 60), 2_000);
    assert_eq!(sides_of_starts(&effects), [1; 8]);
}

#[test]
fn waiting_tasks_go_to_the_remaining_halls() {
    let mut entry = entry_with_halls(0);
    entry.submit(1, 1, entry::job(1, 2, 100), 2_000);
    from_store(&mut entry, 5, drained(3, &[OWN]));
    let effects = entry.status(10, 0, 16_000, 0, None, Vec::new());
    assert!(sides_of_starts(&effects).is_empty());
    let effects = entry.status(12, 1, 16_000, 0, None, Vec::new());
    assert_eq!(sides_of_starts(&effects), [1, 1]);
}

#[test]
fn with_all_halls_drained_jobs_are_refused_at_once() {
    let mut entry = entry_with_halls(0);
    entry.submit(1, 1, entry::job(1, 2, 100), 2_000);
    let effects = from_store(&mut entry, 5, drained(3, &[OWN, FAR]));
    let refused = |effects: &[SchedulerEffect], caller| {
        let answers = entry::answers(effects);
        let [(answered, JobAnswer::Refused { .. })] = answers[..] else {
            panic!("not refused: {answers:?}");
        };
        assert_eq!(answered, caller);
    };
    refused(&effects, 1);
    refused(&entry.submit(10, 2, entry::job(2, 2, 100), 2_000), 2);
    from_store(&mut entry, 20, drained(4, &[FAR]));
    let effects = entry.submit(30, 3, entry::job(3, 2, 100), 2_000);
    assert_eq!(entry::answers(&effects), [], "one hall is back");
}

/// A job that has started is not refused: its runs continue.
#[test]
fn a_job_that_has_started_in_a_drained_hall_is_finished() {
    let mut entry = entry_with_halls(16_000);
    from_store(&mut entry, 5, drained(3, &[FAR]));
    let effects = entry.submit(10, 1, entry::job(1, 1, 100), 2_000);
    let [(0, run)] = entry::starts(&effects)[..] else {
        panic!("not placed: {effects:?}");
    };
    let effects = from_store(&mut entry, 20, drained(4, &[OWN, FAR]));
    assert_eq!(entry::answers(&effects), []);
    let ended = vec![entry::ended(run, EndOfRun::Done)];
    let effects = entry.status(90, 0, 0, 1, None, ended);
    assert_eq!(entry::answers(&effects), [(1, JobAnswer::Completed)]);
}
