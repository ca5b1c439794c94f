//! A target whose room shrinks and grows while it runs.

mod common;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, AgentSettings, TargetAgent, TargetReport};
use mastknot_core::job::{
    Capacity, EndOfRun, EntryOrder, NotRunCause, SideReport, TargetProfile, WaitingNeed,
};
use mastknot_core::types::Incarnation;

const NO_ROOM: EndOfRun = EndOfRun::NotRun(NotRunCause::NoRoom);

fn room(cpu_millis: u32, memory_mb: u32, accelerators: u32) -> Capacity {
    Capacity {
        cpu_millis,
        memory_mb,
        accelerators,
    }
}

/// The known life says that it has this room now.
fn resized(number: u64, capacity: Capacity) -> TargetReport {
    let report = report("target-1", number);
    TargetReport {
        profile: TargetProfile {
            capacity,
            ..report.profile
        },
        ..report
    }
}

fn resize(side: &mut Side, ms: u64, capacity: Capacity) -> Vec<AgentEffect> {
    let report = resized(ms, capacity);
    side.step(ms, AgentEvent::TargetReported(report))
}

/// The profiles that an entry was told of.
fn told(effects: &[AgentEffect]) -> Vec<Capacity> {
    let told = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Status(status),
            ..
        } => status.target.as_ref().map(|target| target.capacity),
        _ => None,
    });
    told.collect()
}

fn remembered(effects: &[AgentEffect]) -> Vec<Capacity> {
    let known = effects.iter().filter_map(|effect| match effect {
        AgentEffect::StoreProfile(profile) => Some(profile.capacity),
        _ => None,
    });
    known.collect()
}

#[test]
fn nothing_starts_on_a_target_that_shrank_below_what_runs_until_it_fits() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_500));
    side.order(1_002, ENTRY, start(2, 1_500));
    resize(&mut side, 1_010, room(2_000, 4_096, 0));
    assert_eq!(side.agent.runs().len(), 2, "what runs is left to end");
    let effects = side.order(1_011, ENTRY, start(3, 100));
    assert_eq!(ends(&effects), [NO_ROOM]);
    side.order(1_012, ENTRY, EntryOrder::Stop(run(1)));
    let effects = side.order(1_013, ENTRY, start(4, 100));
    assert_eq!(ends(&effects), [NO_ROOM], "what is being stopped counts");
}

#[test]
fn each_part_of_the_room_counts_down_to_nothing() {
    for shrunk in [room(0, 4_096, 0), room(4_000, 0, 0), room(0, 0, 0)] {
        let mut side = Side::ready();
        resize(&mut side, 1_010, shrunk);
        let effects = side.order(1_011, ENTRY, start(1, 100));
        assert_eq!(ends(&effects), [NO_ROOM], "{shrunk:?}");
    }
}

#[test]
fn an_offer_from_before_is_worth_no_more_than_what_is_left() {
    let mut side = Side::ready();
    let smallest = cpu(500);
    let need = WaitingNeed {
        rank: 0,
        required_capacity: cpu(4_000),
        smallest_task: smallest,
        ..WaitingNeed::default()
    };
    let waits = EntryOrder::Heartbeat {
        last_received: 0,
        need: Some(need),
        update: None,
    };
    side.order(1_001, ENTRY, waits);
    resize(&mut side, 1_005, room(1_000, 4_096, 0));
    let effects = side.order(1_006, ENTRY, start(1, 3_000));
    assert_eq!(ends(&effects), [NO_ROOM]);
    let effects = side.order(1_007, ENTRY, start(2, 1_000));
    assert_eq!(ordered(&effects), [run(2)]);
}

#[test]
fn growth_is_used_with_the_report_that_tells_it() {
    let mut side = Side::ready();
    resize(&mut side, 1_010, room(500, 4_096, 0));
    let effects = side.order(1_011, ENTRY, start(1, 1_000));
    assert_eq!(ends(&effects), [NO_ROOM]);
    resize(&mut side, 1_020, room(8_000, 4_096, 2));
    assert_eq!(side.agent.free_capacity(), room(8_000, 4_096, 2));
    assert_eq!(
        ordered(&side.order(1_021, ENTRY, start(2, 6_000))),
        [run(2)]
    );
}

#[test]
fn a_report_from_before_does_not_bring_the_room_back() {
    let mut side = Side::ready();
    let late = resized(1_009, room(4_000, 4_096, 0));
    resize(&mut side, 1_010, room(500, 4_096, 0));
    side.step(1_011, AgentEvent::TargetReported(late));
    let effects = side.order(1_012, ENTRY, start(1, 1_000));
    assert_eq!(ends(&effects), [NO_ROOM]);
}

/// The next life of a side took the room from before the target shrank from its entries and from the store.
#[test]
fn entries_and_the_memory_for_restarts_hear_of_each_change() {
    let mut side = Side::ready();
    let small = room(500, 4_096, 0);
    let effects = resize(&mut side, 1_010, small);
    assert_eq!(remembered(&effects), [small]);
    let mut entries = told(&effects);
    entries.extend(told(&side.step(1_100, AgentEvent::Tick)));
    assert_eq!(entries, [small]);
    let effects = resize(&mut side, 1_510, small);
    assert_eq!(remembered(&effects), [], "it is no news");
}

#[test]
fn what_was_remembered_gives_way_to_what_the_target_says() {
    let settings = AgentSettings::new("side-1".into(), Incarnation(2), "hall".into());
    let mut side = Side {
        agent: TargetAgent::new(settings),
    };
    side.step(0, AgentEvent::TargetRemembered(profile()));
    let effects = side.step(1, AgentEvent::Tick);
    if look_number(&effects).is_some() {
        side.answer_look(2, &effects, 1_000, Vec::new());
    }
    let small = room(500, 4_096, 0);
    let effects = resize(&mut side, 3, small);
    assert_eq!(remembered(&effects), [small]);
    assert_eq!(side.agent.capacity(), small);
}
