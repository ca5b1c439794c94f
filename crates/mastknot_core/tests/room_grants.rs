//! Capacity that a side grants: to one entry at a time, ahead of the end of a run, and returned when the entry
//! disconnects.

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

/// Maximum lifetime of a grant, in milliseconds: its reported validity and the latency in both directions.
const RETURNED_WITHIN_MS: u64 = 100;

fn update_with_grants() -> EntryUpdate {
    EntryUpdate {
        grants_capacity: true,
        ..EntryUpdate::default()
    }
}

/// Returns a heartbeat of an entry with ranked queues at which tasks of one core wait.
fn heartbeat(last_received: u64, rank: u8, waiting_millis: u32) -> EntryOrder {
    let need = WaitingNeed {
        rank,
        required_capacity: cpu(waiting_millis),
        smallest_task: cpu(1_000),
        ..WaitingNeed::default()
    };
    EntryOrder::Heartbeat {
        last_received,
        need: (waiting_millis > 0).then_some(need),
        update: Some(update_with_grants()),
    }
}

/// Returns a start that may wait for capacity.
fn start_with_wait(job: u64, rank: u8, cpu_millis: u32, may_wait_ms: u32) -> EntryOrder {
    let EntryOrder::Start(order) = start(job, cpu_millis) else {
        unreachable!("a start is a start");
    };
    EntryOrder::Start(StartOrder {
        rank,
        may_wait_ms,
        ..order
    })
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

fn granted(effects: &[AgentEffect], session: SessionId) -> Option<CapacityGrant> {
    reports_to(effects, session)
        .iter()
        .rev()
        .find_map(|status| status.grant)
}

/// Returns the target's refusal of the order of a run, which frees its capacity.
fn refused_as_late(run: RunId) -> AgentEvent {
    let outcome = OrderOutcome::Refused(OrderRefusal::Late);
    AgentEvent::OrderAnswered { run, outcome }
}

/// Returns a full side with two entries whose queues are ranked; one run of two cores has about a millisecond left at
/// 1,110 ms.
fn full_side() -> Side {
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

/// Returns whether the runs under way use more processor time than the target has.
fn is_overfull(side: &Side) -> bool {
    side.agent.runs().used().cpu_millis > profile().capacity.cpu_millis
}

#[test]
fn freed_capacity_is_granted_to_one_entry_only() {
    let mut side = full_side();
    side.order(1_010, ENTRY, heartbeat(1, 0, 4_000));
    side.order(1_010, OTHER, heartbeat(1, 0, 4_000));
    let mut effects = side.step(1_020, refused_as_late(run(1)));
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
fn freed_capacity_goes_to_the_more_urgent_need() {
    let mut side = full_side();
    side.order(1_010, ENTRY, heartbeat(1, 5, 4_000));
    side.order(1_010, OTHER, heartbeat(1, 1, 4_000));
    let mut effects = side.step(1_020, refused_as_late(run(1)));
    effects.extend(side.step(1_026, AgentEvent::Tick));
    assert!(granted(&effects, OTHER).is_some(), "{effects:?}");
    assert!(granted(&effects, ENTRY).is_none(), "{effects:?}");
}

#[test]
fn a_start_on_a_grant_is_never_turned_away_while_it_is_valid() {
    let mut side = full_side();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    let mut effects = side.step(1_020, refused_as_late(run(1)));
    effects.extend(side.step(1_025, AgentEvent::Tick));
    let grant = granted(&effects, OTHER).expect("a grant");
    let last = 1_025 + u64::from(grant.valid_ms);
    let other = side.order(last - 1, ENTRY, start(7, 1_000));
    assert_eq!(
        ordered(&other),
        [],
        "the capacity is reserved for the other entry"
    );
    let owner_effects = side.order(last, OTHER, start(8, 2_000));
    assert_eq!(ordered(&owner_effects), [run(8)]);
    assert!(!is_overfull(&side));
}

#[test]
fn a_start_that_comes_after_its_grant_expired_is_refused() {
    let mut side = full_side();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    let mut effects = side.step(1_020, refused_as_late(run(1)));
    effects.extend(side.step(1_025, AgentEvent::Tick));
    assert!(granted(&effects, OTHER).is_some());
    let expired_at = 1_025 + RETURNED_WITHIN_MS;
    side.order(expired_at, ENTRY, heartbeat(2, 0, 2_000));
    side.order(expired_at + 5, ENTRY, start(7, 2_000));
    let effects = side.order(expired_at + 6, OTHER, start(8, 2_000));
    assert_eq!(ordered(&effects), []);
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
    assert!(!is_overfull(&side));
}

#[test]
fn grants_of_a_silent_entry_return() {
    let mut side = full_side();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    side.step(1_020, refused_as_late(run(1)));
    side.step(1_025, AgentEvent::Tick);
    // The entry is suspended or disconnected: its link stays up and nothing arrives.
    side.order(1_030, ENTRY, heartbeat(2, 0, 2_000));
    let effects = side.step(1_025 + RETURNED_WITHIN_MS, AgentEvent::Tick);
    let grant = granted(&effects, ENTRY).expect("the capacity goes to the entry that still sends");
    assert_eq!(grant.capacity.cpu_millis, 2_000);
}

#[test]
fn grants_of_a_killed_entry_return() {
    let mut side = full_side();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    side.step(1_020, refused_as_late(run(1)));
    side.step(1_025, AgentEvent::Tick);
    side.step(1_026, AgentEvent::LinkDown { session: OTHER });
    side.order(1_030, ENTRY, heartbeat(2, 0, 2_000));
    let effects = side.step(1_026 + RETURNED_WITHIN_MS, AgentEvent::Tick);
    assert!(granted(&effects, ENTRY).is_some(), "{effects:?}");
}

#[test]
fn the_rest_of_a_grant_is_returned_with_the_next_heartbeat() {
    let mut side = full_side();
    side.order(1_010, OTHER, heartbeat(1, 0, 2_000));
    let mut effects = side.step(1_020, refused_as_late(run(1)));
    effects.extend(side.step(1_025, AgentEvent::Tick));
    let number = reports_to(&effects, OTHER)[0].number;
    side.order(1_026, ENTRY, heartbeat(2, 0, 2_000));
    let effects = side.order(1_027, OTHER, heartbeat(number, 0, 0));
    let effects = [effects, side.step(1_032, AgentEvent::Tick)].concat();
    assert!(granted(&effects, ENTRY).is_some(), "{effects:?}");
}

/// Returns a side with two runs of two cores each whose progress shows that they end at about 1,102 and 1,200 ms.
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
fn capacity_is_granted_ahead_and_a_start_on_it_waits_for_the_end() {
    let (mut side, probed) = ending_soon();
    side.order(1_100, OTHER, heartbeat(1, 0, 4_000));
    let effects = side.step(1_104, AgentEvent::Tick);
    let grant = granted(&effects, OTHER).expect("a grant");
    assert_eq!(
        grant.capacity.cpu_millis, 2_000,
        "only the capacity of the run that is about to end"
    );
    assert_eq!(grant.ahead.cpu_millis, 2_000);
    let early = side.order(1_105, OTHER, start_with_wait(7, 0, 2_000, 20));
    assert_eq!(ordered(&early), []);
    assert_eq!(ends(&early), []);
    let effects = end_of_first(&mut side, 1_106, &probed);
    assert_eq!(
        ordered(&effects),
        [run(7)],
        "at the end of the run, not one report later"
    );
    assert!(!is_overfull(&side));
}

fn end_of_first(side: &mut Side, ms: u64, probed: &[AgentEffect]) -> Vec<AgentEffect> {
    let done = TargetFinished {
        number: 1,
        run: run(1),
        reason: FinishReason::Done,
    };
    let number = probe_number(probed).expect("a probe is under way");
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
fn ahead_grants_and_waiting_starts_never_exceed_the_capacity() {
    let (mut side, _) = ending_soon();
    side.order(1_100, OTHER, heartbeat(1, 0, 4_000));
    side.step(1_104, AgentEvent::Tick);
    side.order(1_105, OTHER, start_with_wait(7, 0, 2_000, 20));
    let mut effects = side.order(1_106, ENTRY, heartbeat(2, 0, 4_000));
    effects.extend(side.step(1_110, AgentEvent::Tick));
    assert_eq!(
        granted(&effects, ENTRY),
        None,
        "the capacity of the ending run is taken"
    );
    let refused = side.order(1_110, ENTRY, start_with_wait(8, 0, 2_000, 5));
    assert_eq!(ends(&refused), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
}

#[test]
fn a_start_is_turned_away_after_its_maximum_wait() {
    let (mut side, _) = ending_soon();
    side.order(1_100, OTHER, start_with_wait(7, 0, 2_000, 20));
    let early = side.step(1_119, AgentEvent::Tick);
    assert_eq!(ends(&early), []);
    let effects = side.step(1_121, AgentEvent::Tick);
    let effects = [effects, side.step(1_165, AgentEvent::Tick)].concat();
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
}

#[test]
fn a_waiting_start_can_be_recalled() {
    let (mut side, probed) = ending_soon();
    side.order(1_100, OTHER, start_with_wait(7, 0, 2_000, 20));
    let effects = side.order(1_101, OTHER, EntryOrder::Stop(run(7)));
    assert_eq!(stopped(&effects), [], "the target never received the start");
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::Recalled)]);
    let effects = end_of_first(&mut side, 1_106, &probed);
    assert_eq!(ordered(&effects), []);
}

#[test]
fn a_new_link_reports_the_outcome_of_a_waiting_start() {
    let (mut side, probed) = ending_soon();
    side.order(1_100, OTHER, start_with_wait(7, 0, 2_000, 20));
    side.step(1_101, AgentEvent::LinkDown { session: OTHER });
    let new_session = SessionId(9);
    let effects = side.join(1_103, new_session, "entry-2", 1);
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
    let effects = end_of_first(&mut side, 1_106, &probed);
    assert_eq!(ordered(&effects), [], "the start is not ordered later");
}

#[test]
fn waiting_starts_end_with_the_lease_and_when_the_side_drains() {
    let (mut side, _) = ending_soon();
    side.order(1_100, OTHER, start_with_wait(7, 0, 2_000, 20));
    let effects = side.step(1_101, AgentEvent::Stop);
    let effects = [effects, side.step(1_145, AgentEvent::Tick)].concat();
    assert_eq!(ordered(&effects), []);
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::Draining)]);
    let (mut side, probed) = ending_soon();
    side.order(1_100, OTHER, start_with_wait(7, 0, 2_000, 20));
    side.join(1_102, SessionId(9), "entry-2", 2);
    let effects = end_of_first(&mut side, 1_106, &probed);
    assert_eq!(ordered(&effects), [], "its entry has restarted");
}

#[test]
fn a_restarted_side_knows_no_grant_and_never_exceeds_its_capacity() {
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

/// Without ranked queues the side grants no capacity and keeps no start waiting.
#[test]
fn nothing_is_granted_without_ranked_queues() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 4_000));
    let effects = side.order(1_002, ENTRY, start_with_wait(2, 0, 1_000, 50));
    let effects = [effects, side.step(1_050, AgentEvent::Tick)].concat();
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
    assert_eq!(granted(&effects, ENTRY), None);
}
