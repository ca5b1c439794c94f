//! Room that is kept for one entry while tasks wait at several.

mod common;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, OrderOutcome, OrderRefusal, SessionId};
use mastknot_core::job::{
    EndOfRun, EntryOrder, NotRunCause, RunId, SideReport, SideStatus, WaitingNeed,
};

/// An entry at which tasks of one core wait.
fn heartbeat(heard: u64, waiting_millis: u32) -> EntryOrder {
    let need = WaitingNeed {
        rank: 0,
        required_capacity: cpu(waiting_millis),
        smallest_task: cpu(1_000),
        ..WaitingNeed::default()
    };
    let need = (waiting_millis > 0).then_some(need);
    EntryOrder::Heartbeat {
        last_received: heard,
        need,
        update: None,
    }
}

/// The reports to one entry.
fn told(effects: &[AgentEffect], session: SessionId) -> Vec<&SideStatus> {
    let statuses = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session: to,
            report: SideReport::Status(status),
        } if *to == session => Some(status),
        _ => None,
    });
    statuses.collect()
}

/// A full side with two entries, both of which have tasks waiting.
fn crowded() -> Side {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    side.order(1_001, ENTRY, start(1, 2_000));
    side.order(1_001, ENTRY, start(2, 2_000));
    side.order(1_100, ENTRY, heartbeat(1, 4_000));
    side.order(1_100, OTHER, heartbeat(1, 4_000));
    side
}

/// The target refuses the order of a run, which gives its room back.
fn late(run: RunId) -> AgentEvent {
    let outcome = OrderOutcome::Refused(OrderRefusal::Late);
    AgentEvent::OrderAnswered { run, outcome }
}

fn end_first_run(side: &mut Side, ms: u64) -> Vec<AgentEffect> {
    side.step(ms, late(run(1)))
}

#[test]
fn room_that_comes_free_is_told_to_one_entry_only() {
    let mut side = crowded();
    let mut effects = end_first_run(&mut side, 1_110);
    effects.extend(side.step(1_116, AgentEvent::Tick));
    let offers = [ENTRY, OTHER].map(|session| {
        let told = told(&effects, session);
        told.iter()
            .filter(|status| status.free.cpu_millis > 0)
            .count()
    });
    assert_eq!(offers.iter().sum::<usize>(), 1, "{offers:?}");
}

#[test]
fn a_start_of_another_entry_does_not_take_what_is_kept() {
    let mut side = crowded();
    end_first_run(&mut side, 1_110);
    let is_own = side.agent.free_capacity().cpu_millis == 2_000;
    assert!(is_own, "the room is free until it is used");
    let first = side.order(1_112, OTHER, start(7, 1_000));
    let second = side.order(1_113, ENTRY, start(8, 1_000));
    let (own, other) = (ordered(&second), ordered(&first));
    assert_eq!(
        own.len() + other.len(),
        1,
        "only the entry that it is kept for may start"
    );
    let turned_away = EndOfRun::NotRun(NotRunCause::NoRoom);
    assert!(ends(&first).contains(&turned_away) != ends(&second).contains(&turned_away));
}

#[test]
fn what_an_entry_leaves_of_its_offer_goes_to_the_next() {
    let mut side = crowded();
    let mut effects = end_first_run(&mut side, 1_110);
    effects.extend(side.step(1_116, AgentEvent::Tick));
    let kept_for = [ENTRY, OTHER]
        .into_iter()
        .find(|session| {
            told(&effects, *session)
                .iter()
                .any(|status| status.is_offer)
        })
        .expect("an offer");
    let number = told(&effects, kept_for)[0].number;
    let other = if kept_for == ENTRY { OTHER } else { ENTRY };
    let effects = side.order(1_120, kept_for, heartbeat(number, 0));
    let next = told(&effects, other);
    assert!(next.iter().any(|status| status.is_offer), "{effects:?}");
}

#[test]
fn an_offer_that_is_not_answered_ends() {
    let mut side = crowded();
    end_first_run(&mut side, 1_110);
    side.step(1_116, AgentEvent::Tick);
    side.step(1_145, AgentEvent::Tick);
    let first = side.order(1_146, OTHER, start(7, 1_000));
    let second = side.order(1_146, ENTRY, start(8, 1_000));
    let started = ordered(&first).len() + ordered(&second).len();
    assert!(started >= 1, "somebody may use it");
}

/// With 55 entries and 240 sides three of four links of a side are on standby. Their entries tell with each
/// heartbeat what waits there, but may start nothing: room that was kept for them stood empty, in turn for one
/// after the other, while all entries refused jobs.
#[test]
fn nothing_is_kept_for_an_entry_on_standby() {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    side.order(1_001, OTHER, EntryOrder::Standby);
    let mut effects = side.order(1_010, OTHER, heartbeat(1, 40_000));
    effects.extend(side.step(1_060, AgentEvent::Tick));
    assert!(told(&effects, OTHER).iter().all(|status| !status.is_offer));
    let effects = side.order(1_061, ENTRY, start(7, 4_000));
    assert_eq!(ordered(&effects), [run(7)], "the whole target is free");
}

#[test]
fn offers_follow_what_waits() {
    let mut side = crowded();
    side.order(1_101, OTHER, heartbeat(1, 40_000));
    let mut offers = [0_u32; 2];
    let mut now = 1_110;
    let mut ending = run(1);
    for job in 10..30 {
        let mut effects = side.step(now, late(ending));
        now += 5;
        effects.extend(side.step(now, AgentEvent::Tick));
        for (place, session) in [ENTRY, OTHER].into_iter().enumerate() {
            let told = told(&effects, session);
            let Some(offer) = told.iter().rfind(|status| status.is_offer) else {
                continue;
            };
            offers[place] += 1;
            let need = if place == 0 { 4_000 } else { 40_000 };
            side.order(now, session, start(job, 2_000));
            side.order(now, session, heartbeat(offer.number, need));
        }
        now += 5;
        ending = run(job);
    }
    assert!(offers[0] >= 1 && offers[1] > 2 * offers[0], "{offers:?}");
}
