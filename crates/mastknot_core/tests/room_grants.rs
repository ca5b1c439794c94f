//! Room that a side grants: to one entry at a time, ahead of the end of a run, and back when the entry goes.

mod common;

use common::side::*;
use mastknot_core::agent::{
    AgentEffect, AgentEvent, OrderOutcome, OrderRefusal, SessionId, TargetFinished,
};
use mastknot_core::agent::{FinishReason, TargetRunning, TargetView};
use mastknot_core::job::{
    CapacityGrant, EndOfRun, EntryOrder, EntryUpdate, NotRunCause, RunId, SideReport, SideStatus,
    StartOrder, WaitingNeed,
};

/// No grant outlives this: what it is told to be good for, and the ways there and back.
const BACK_WITHIN_MS: u64 = 100;

fn ranked_news() -> EntryUpdate {
    EntryUpdate {
        grants_capacity: true,
        ..EntryUpdate::default()
    }
}

/// A heartbeat of an entry whose queues compete by priority and at which tasks of one core wait.
fn heartbeat(heard: u64, rank: u8, waiting_millis: u32) -> EntryOrder {
    let need = WaitingNeed {
        rank,
        required_capacity: cpu(waiting_millis),
        smallest_task: cpu(1_000),
        ..WaitingNeed::default()
    };
    EntryOrder::Heartbeat {
        last_received: heard,
        need: (waiting_millis > 0).then_some(need),
        update: Some(ranked_news()),
    }
}

/// A start that may wait for room.
fn patient(job: u64, rank: u8, cpu_millis: u32, may_wait_ms: u32) -> EntryOrder {
    let EntryOrder::Start(order) = start(job, cpu_millis) else {
        unreachable!("a start is a start");
    };
    EntryOrder::Start(StartOrder {
        rank,
        may_wait_ms,
        ..order
    })
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

fn granted(effects: &[AgentEffect], session: SessionId) -> Option<CapacityGrant> {
    told(effects, session)
        .iter()
        .rev()
        .find_map(|status| status.grant)
}

/// The target refuses the order of a run, which gives its room back.
fn late(run: RunId) -> AgentEvent {
    let outcome = OrderOutcome::Refused(OrderRefusal::Late);
    AgentEvent::OrderAnswered { run, outcome }
}

/// A full side with two entries whose queues compete; one run of two cores has about a millisecond left at 1,110 ms.
fn crowded() -> Side {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    for session in [ENTRY, OTHER] {
        side.order(1_000, session, heartbeat(1, 0, 0));
    }
    side.order(1_001, ENTRY, start(1, 2_000));
    let effects = side.order(1_001, ENTRY, start(2, 2_000));
    assert_eq!(ordered(&effects), [run(2)], "both fit");
    side
}

/// The runs that a side's target was told to start, less those that have ended.
fn is_overfull(side: &Side) -> bool {
    side.agent.runs().used().cpu_millis > profile().capacity.cpu_millis
}

#[test]
fn room_that_comes_free_is_granted_to_one_entry_only() {
    let mut side = crowded();
    side.order(1_010, ENTRY, heartbeat(1, 0, 4_000));
    side.order(1_010, OTHER, heartbeat(1, 0, 4_000));
    let mut effects = side.step(1_020, late(run(1)));
    effects.extend(side.step(1_026, AgentEvent::Tick));
    let grants = [ENTRY, OTHER].map(|session| granted(&effects, session));
    let both: u32 = grants
        .iter()
        .flatten()
        .map(|grant| grant.capacity.cpu_millis)
        .sum();
    assert_eq!(both, 2_000, "{grants:?}");
    assert_eq!(grants.iter().flatten().count(), 1, "{grants:?}");
}

#[test]
fn the_more_urgent_need_gets_it() {
    let mut side = crowded();
    side.order(1_010, ENTRY, heartbeat(1, 5, 4_000));
    side.order(1_010, OTHER, heartbeat(1, 1, 4_000));
    let mut effects = side.step(1_020, late(run(1)));
    effects.extend(side.step(1_026, AgentEvent::Tick));
    assert!(granted(&effects, OTHER).is_some(), "{effects:?}");
    assert!(granted(&effects, ENTRY).is_none(), "{effects:?}");
}

#[test]
fn a_start_on_a_grant_is_never_turned_away_while_it_is_valid() {
    let mut side = crowded();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    let mut effects = side.step(1_020, late(run(1)));
    effects.extend(side.step(1_025, AgentEvent::Tick));
    let grant = granted(&effects, OTHER).expect("a grant");
    let last = 1_025 + u64::from(grant.valid_ms);
    let other = side.order(last - 1, ENTRY, start(7, 1_000));
    assert_eq!(ordered(&other), [], "it is kept for the other entry");
    let own = side.order(last, OTHER, start(8, 2_000));
    assert_eq!(ordered(&own), [run(8)]);
    assert!(!is_overfull(&side));
}

#[test]
fn a_start_that_comes_too_late_is_refused_truthfully() {
    let mut side = crowded();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    let mut effects = side.step(1_020, late(run(1)));
    effects.extend(side.step(1_025, AgentEvent::Tick));
    assert!(granted(&effects, OTHER).is_some());
    let gone = 1_025 + BACK_WITHIN_MS;
    side.order(gone, ENTRY, heartbeat(2, 0, 2_000));
    side.order(gone + 5, ENTRY, start(7, 2_000));
    let effects = side.order(gone + 6, OTHER, start(8, 2_000));
    assert_eq!(ordered(&effects), []);
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
    assert!(!is_overfull(&side));
}

#[test]
fn grants_of_an_entry_that_is_silent_go_back() {
    let mut side = crowded();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    side.step(1_020, late(run(1)));
    side.step(1_025, AgentEvent::Tick);
    // Frozen or cut off: the link stands and nothing comes.
    side.order(1_030, ENTRY, heartbeat(2, 0, 2_000));
    let effects = side.step(1_025 + BACK_WITHIN_MS, AgentEvent::Tick);
    let grant = granted(&effects, ENTRY).expect("the room goes to the entry that is heard");
    assert_eq!(grant.capacity.cpu_millis, 2_000);
}

#[test]
fn grants_of_an_entry_that_is_killed_go_back() {
    let mut side = crowded();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    side.step(1_020, late(run(1)));
    side.step(1_025, AgentEvent::Tick);
    side.step(1_026, AgentEvent::LinkDown { session: OTHER });
    side.order(1_030, ENTRY, heartbeat(2, 0, 2_000));
    let effects = side.step(1_026 + BACK_WITHIN_MS, AgentEvent::Tick);
    assert!(granted(&effects, ENTRY).is_some(), "{effects:?}");
}

#[test]
fn what_is_left_of_a_grant_is_returned_with_the_next_heartbeat() {
    let mut side = crowded();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    let mut effects = side.step(1_020, late(run(1)));
    effects.extend(side.step(1_025, AgentEvent::Tick));
    let number = told(&effects, OTHER)[0].number;
    side.order(1_026, ENTRY, heartbeat(2, 0, 2_000));
    let effects = side.order(1_027, OTHER, heartbeat(number, 0, 0));
    let effects = [effects, side.step(1_032, AgentEvent::Tick)].concat();
    assert!(granted(&effects, ENTRY).is_some(), "{effects:?}");
}

/// A side on which two runs of two cores each show that they end at about 1,102 and 1,200 ms.
fn ending_soon() -> (Side, Vec<AgentEffect>) {
    let mut side = Side::unknown();
    let effects = side.step(0, AgentEvent::Tick);
    let effects = side.answer_probe(1, &effects, 1_000, Vec::new());
    side.answer_probe(3, &effects, 1_002, Vec::new());
    side.step(4, AgentEvent::TargetReported(report("target-1", 1)));
    side.join(1_000, ENTRY, "entry-1", 1);
    side.join(1_000, OTHER, "entry-2", 1);
    for session in [ENTRY, OTHER] {
        side.order(1_000, session, heartbeat(1, 0, 0));
    }
    let effects = side.order(1_002, ENTRY, start(1, 2_000));
    let number = probe_number(&effects).expect("a probe is under way");
    side.order(1_002, ENTRY, start(2, 2_000));
    let running = |job, percent| TargetRunning {
        run: run(job),
        percent,
    };
    let view = TargetView {
        clock_ms: 2_094,
        started_at_ms: 0,
        running: vec![running(1, 98), running(2, 49)],
        finished: Vec::new(),
    };
    let result = Ok(view);
    let effects = side.step(1_100, AgentEvent::Probed { number, result });
    (side, effects)
}

#[test]
fn room_is_granted_ahead_and_a_start_on_it_waits_for_the_end() {
    let (mut side, looked) = ending_soon();
    side.order(1_100, OTHER, heartbeat(1, 0, 4_000));
    let effects = side.step(1_104, AgentEvent::Tick);
    let grant = granted(&effects, OTHER).expect("a grant");
    assert_eq!(
        grant.capacity.cpu_millis, 2_000,
        "only what is about to end"
    );
    assert_eq!(grant.ahead.cpu_millis, 2_000);
    let early = side.order(1_105, OTHER, patient(7, 0, 2_000, 20));
    assert_eq!(ordered(&early), []);
    assert_eq!(ends(&early), []);
    let effects = end_of_first(&mut side, 1_106, &looked);
    assert_eq!(
        ordered(&effects),
        [run(7)],
        "with the end, not a report later"
    );
    assert!(!is_overfull(&side));
}

fn end_of_first(side: &mut Side, ms: u64, looked: &[AgentEffect]) -> Vec<AgentEffect> {
    let done = TargetFinished {
        number: 1,
        run: run(1),
        reason: FinishReason::Done,
    };
    let number = probe_number(looked).expect("a probe is under way");
    let view = TargetView {
        clock_ms: ms + 994,
        started_at_ms: 0,
        running: vec![TargetRunning {
            run: run(2),
            percent: 50,
        }],
        finished: vec![done],
    };
    let result = Ok(view);
    side.step(ms, AgentEvent::Probed { number, result })
}

#[test]
fn ahead_grants_and_starts_that_wait_never_exceed_the_room() {
    let (mut side, _) = ending_soon();
    side.order(1_100, OTHER, heartbeat(1, 0, 4_000));
    side.step(1_104, AgentEvent::Tick);
    side.order(1_105, OTHER, patient(7, 0, 2_000, 20));
    let mut effects = side.order(1_106, ENTRY, heartbeat(2, 0, 4_000));
    effects.extend(side.step(1_110, AgentEvent::Tick));
    assert_eq!(granted(&effects, ENTRY), None, "what is to end is taken");
    let refused = side.order(1_110, ENTRY, patient(8, 0, 2_000, 5));
    assert_eq!(ends(&refused), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
}

#[test]
fn a_start_that_waited_for_as_long_as_it_may_is_turned_away() {
    let (mut side, _) = ending_soon();
    side.order(1_100, OTHER, patient(7, 0, 2_000, 20));
    let early = side.step(1_119, AgentEvent::Tick);
    assert_eq!(ends(&early), []);
    let effects = side.step(1_121, AgentEvent::Tick);
    let effects = [effects, side.step(1_165, AgentEvent::Tick)].concat();
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
}

#[test]
fn a_start_that_waits_is_called_back() {
    let (mut side, looked) = ending_soon();
    side.order(1_100, OTHER, patient(7, 0, 2_000, 20));
    let effects = side.order(1_101, OTHER, EntryOrder::Stop(run(7)));
    assert_eq!(stopped(&effects), [], "the target never heard of it");
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::Recalled)]);
    let effects = end_of_first(&mut side, 1_106, &looked);
    assert_eq!(ordered(&effects), []);
}

#[test]
fn a_new_link_says_what_became_of_a_start_that_waited() {
    let (mut side, looked) = ending_soon();
    side.order(1_100, OTHER, patient(7, 0, 2_000, 20));
    side.step(1_101, AgentEvent::LinkDown { session: OTHER });
    let again = SessionId(9);
    let effects = side.join(1_103, again, "entry-2", 1);
    let resumed = effects.iter().find_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Resume { running, ended, .. },
            ..
        } => Some((running.clone(), ended.clone())),
        _ => None,
    });
    let (running, ended) = resumed.expect("the link is resumed");
    assert_eq!(running, []);
    let ends: Vec<(RunId, bool)> = ended
        .iter()
        .map(|ended| (ended.run, matches!(ended.end, EndOfRun::NotRun(_))))
        .collect();
    assert_eq!(ends, [(run(7), true)]);
    let effects = end_of_first(&mut side, 1_106, &looked);
    assert_eq!(ordered(&effects), [], "it does not begin later");
}

#[test]
fn starts_that_wait_end_with_the_lease_and_with_a_drained_side() {
    let (mut side, _) = ending_soon();
    side.order(1_100, OTHER, patient(7, 0, 2_000, 20));
    let effects = side.step(1_101, AgentEvent::Stop);
    let effects = [effects, side.step(1_145, AgentEvent::Tick)].concat();
    assert_eq!(ordered(&effects), []);
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::Draining)]);
    let (mut side, looked) = ending_soon();
    side.order(1_100, OTHER, patient(7, 0, 2_000, 20));
    side.join(1_102, SessionId(9), "entry-2", 2);
    let effects = end_of_first(&mut side, 1_106, &looked);
    assert_eq!(ordered(&effects), [], "its entry has started anew");
}

#[test]
fn a_side_that_restarts_knows_of_no_grant_and_never_starts_too_much() {
    let (mut side, _) = ending_soon();
    side.order(1_100, OTHER, heartbeat(1, 0, 4_000));
    side.step(1_104, AgentEvent::Tick);
    let mut side = Side::ready();
    side.join(1_200, OTHER, "entry-2", 1);
    side.order(1_201, ENTRY, start(11, 4_000));
    let effects = side.order(1_202, OTHER, start(12, 2_000));
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
    assert!(!is_overfull(&side));
}

/// Without queues that compete nothing is granted and nothing waits here.
#[test]
fn nothing_is_granted_where_no_queues_compete() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 4_000));
    let effects = side.order(1_002, ENTRY, patient(2, 0, 1_000, 50));
    let effects = [effects, side.step(1_050, AgentEvent::Tick)].concat();
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
    assert_eq!(granted(&effects, ENTRY), None);
}
