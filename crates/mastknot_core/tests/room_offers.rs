//! Capacity that a side reserves for one entry while tasks wait at several.

mod common;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, OrderOutcome, OrderRefusal, SessionId};
use mastknot_core::job::{
    EndOfRun, EntryOrder, NotRunCause, RunId, SideReport, SideStatus, WaitingNeed,
};

/// Returns a heartbeat of an entry at which tasks of one core wait.
fn heartbeat(last_received: u64, waiting_millis: u32) -> EntryOrder {
    let need = WaitingNeed {
        rank: 0,
        required_capacity: cpu(waiting_millis),
        smallest_task: cpu(1_000),
        ..WaitingNeed::default()
    };
    let need = (waiting_millis > 0).then_some(need);
    EntryOrder::Heartbeat {
        last_received,
        need,
        update: None,
    }
}

/// Returns the status reports to one entry.
fn reports_to(effects: &[AgentEffect], session: SessionId) -> Vec<&SideStatus> {
    let statuses = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session: to,
            report: SideReport::Status(status),
        } if *to == session => Some(status),
        _ => None,
    });
    statuses.collect()
}

/// Returns a full side with two entries, both of which have tasks waiting.
fn full_side() -> Side {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    side.order(1_001, ENTRY, start(1, 2_000));
    side.order(1_001, ENTRY, start(2, 2_000));
    side.order(1_100, ENTRY, heartbeat(1, 4_000));
    side.order(1_100, OTHER, heartbeat(1, 4_000));
    side
}

/// Returns the target's refusal of the order of a run, which frees its capacity.
fn refused_as_late(run: RunId) -> AgentEvent {
    let outcome = OrderOutcome::Refused(OrderRefusal::Late);
    AgentEvent::OrderAnswered { run, outcome }
}

fn end_first_run(side: &mut Side, ms: u64) -> Vec<AgentEffect> {
    side.step(ms, refused_as_late(run(1)))
}

#[test]
fn freed_capacity_is_offered_to_one_entry_only() {
    let mut side = full_side();
    let mut effects = end_first_run(&mut side, 1_110);
    effects.extend(side.step(1_116, AgentEvent::Tick));
    let offers = [ENTRY, OTHER].map(|session| {
        let reports = reports_to(&effects, session);
        reports
            .iter()
            .filter(|status| status.free.cpu_millis > 0)
            .count()
    });
    assert_eq!(offers.iter().sum::<usize>(), 1, "{offers:?}");
}

#[test]
fn a_start_of_another_entry_does_not_take_reserved_capacity() {
    let mut side = full_side();
    end_first_run(&mut side, 1_110);
    let is_own = side.agent.free_capacity().cpu_millis == 2_000;
    assert!(is_own, "the capacity is free until it is used");
    let first = side.order(1_112, OTHER, start(7, 1_000));
    let second = side.order(1_113, ENTRY, start(8, 1_000));
    let (own, other) = (ordered(&second), ordered(&first));
    assert_eq!(
        own.len() + other.len(),
        1,
        "only the entry that it is reserved for may start"
    );
    let turned_away = EndOfRun::NotRun(NotRunCause::NoRoom);
    assert!(ends(&first).contains(&turned_away) != ends(&second).contains(&turned_away));
}

#[test]
fn the_unused_rest_of_an_offer_goes_to_the_next_entry() {
    let mut side = full_side();
    let mut effects = end_first_run(&mut side, 1_110);
    effects.extend(side.step(1_116, AgentEvent::Tick));
    let reserved_for = [ENTRY, OTHER]
        .into_iter()
        .find(|session| {
            reports_to(&effects, *session)
                .iter()
                .any(|status| status.is_offer)
        })
        .expect("an offer");
    let number = reports_to(&effects, reserved_for)[0].number;
    let other = if reserved_for == ENTRY { OTHER } else { ENTRY };
    let effects = side.order(1_120, reserved_for, heartbeat(number, 0));
    let next = reports_to(&effects, other);
    assert!(next.iter().any(|status| status.is_offer), "{effects:?}");
}

#[test]
fn an_unanswered_offer_expires() {
    let mut side = full_side();
    end_first_run(&mut side, 1_110);
    side.step(1_116, AgentEvent::Tick);
    side.step(1_145, AgentEvent::Tick);
    let first = side.order(1_146, OTHER, start(7, 1_000));
    let second = side.order(1_146, ENTRY, start(8, 1_000));
    let started = ordered(&first).len() + ordered(&second).len();
    assert!(started >= 1, "an entry may use it");
}

/// With 55 entries and 240 sides, three of four links of a side are on standby. Their entries report waiting work
/// with each heartbeat but may not start tasks: capacity that was reserved for them stayed idle, for one of them
/// after the other, while all entries refused jobs.
#[test]
fn nothing_is_reserved_for_an_entry_on_standby() {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    side.order(1_001, OTHER, EntryOrder::Standby);
    let mut effects = side.order(1_010, OTHER, heartbeat(1, 40_000));
    effects.extend(side.step(1_060, AgentEvent::Tick));
    assert!(
        reports_to(&effects, OTHER)
            .iter()
            .all(|status| !status.is_offer)
    );
    let effects = side.order(1_061, ENTRY, start(7, 4_000));
    assert_eq!(ordered(&effects), [run(7)], "the whole target is free");
}

#[test]
fn offers_follow_the_waiting_work() {
    let mut side = full_side();
    side.order(1_101, OTHER, heartbeat(1, 40_000));
    let mut offers = [0_u32; 2];
    let mut now = 1_110;
    let mut ending = run(1);
    for job in 10..30 {
        let mut effects = side.step(now, refused_as_late(ending));
        now += 5;
        effects.extend(side.step(now, AgentEvent::Tick));
        for (index, session) in [ENTRY, OTHER].into_iter().enumerate() {
            let reports = reports_to(&effects, session);
            let Some(offer) = reports.iter().rfind(|status| status.is_offer) else {
                continue;
            };
            offers[index] += 1;
            let need = if index == 0 { 4_000 } else { 40_000 };
            side.order(now, session, start(job, 2_000));
            side.order(now, session, heartbeat(offer.number, need));
        }
        now += 5;
        ending = run(job);
    }
    assert!(offers[0] >= 1 && offers[1] > 2 * offers[0], "{offers:?}");
}
