//! A target whose capacity shrinks and grows while tasks run on it.

mod common;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, AgentSettings, TargetAgent, TargetReport};
use mastknot_core::job::{
    Capacity, EndOfRun, EntryOrder, NotRunCause, SideReport, TargetProfile, WaitingNeed,
};
use mastknot_core::types::Incarnation;

const NO_CAPACITY: EndOfRun = EndOfRun::NotRun(NotRunCause::NoRoom);

fn capacity(cpu_millis: u32, memory_mb: u32, accelerators: u32) -> Capacity {
    Capacity {
        cpu_millis,
        memory_mb,
        accelerators,
    }
}

/// Returns a report of the known incarnation with this capacity.
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

/// Returns the capacities in the profiles that entries were sent.
fn sent_capacities(effects: &[AgentEffect]) -> Vec<Capacity> {
    let sent_capacities = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Status(status),
            ..
        } => status.target.as_ref().map(|target| target.capacity),
        _ => None,
    });
    sent_capacities.collect()
}

fn stored_capacities(effects: &[AgentEffect]) -> Vec<Capacity> {
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
    resize(&mut side, 1_010, capacity(2_000, 4_096, 0));
    assert_eq!(
        side.agent.runs().len(),
        2,
        "runs under way are left to finish"
    );
    let effects = side.order(1_011, ENTRY, start(3, 100));
    assert_eq!(ends(&effects), [NO_CAPACITY]);
    side.order(1_012, ENTRY, EntryOrder::Stop(run(1)));
    let effects = side.order(1_013, ENTRY, start(4, 100));
    assert_eq!(
        ends(&effects),
        [NO_CAPACITY],
        "runs that are being stopped still use capacity"
    );
}

#[test]
fn each_dimension_of_the_capacity_may_shrink_to_zero() {
    for shrunk in [
        capacity(0, 4_096, 0),
        capacity(4_000, 0, 0),
        capacity(0, 0, 0),
    ] {
        let mut side = Side::ready();
        resize(&mut side, 1_010, shrunk);
        let effects = side.order(1_011, ENTRY, start(1, 100));
        assert_eq!(ends(&effects), [NO_CAPACITY], "{shrunk:?}");
    }
}

#[test]
fn an_earlier_offer_covers_no_more_than_the_remaining_capacity() {
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
    resize(&mut side, 1_005, capacity(1_000, 4_096, 0));
    let effects = side.order(1_006, ENTRY, start(1, 3_000));
    assert_eq!(ends(&effects), [NO_CAPACITY]);
    let effects = side.order(1_007, ENTRY, start(2, 1_000));
    assert_eq!(ordered(&effects), [run(2)]);
}

#[test]
fn growth_is_used_as_soon_as_it_is_reported() {
    let mut side = Side::ready();
    resize(&mut side, 1_010, capacity(500, 4_096, 0));
    let effects = side.order(1_011, ENTRY, start(1, 1_000));
    assert_eq!(ends(&effects), [NO_CAPACITY]);
    resize(&mut side, 1_020, capacity(8_000, 4_096, 2));
    assert_eq!(side.agent.free_capacity(), capacity(8_000, 4_096, 2));
    assert_eq!(
        ordered(&side.order(1_021, ENTRY, start(2, 6_000))),
        [run(2)]
    );
}

#[test]
fn a_late_older_report_does_not_restore_the_capacity() {
    let mut side = Side::ready();
    let late_report = resized(1_009, capacity(4_000, 4_096, 0));
    resize(&mut side, 1_010, capacity(500, 4_096, 0));
    side.step(1_011, AgentEvent::TargetReported(late_report));
    let effects = side.order(1_012, ENTRY, start(1, 1_000));
    assert_eq!(ends(&effects), [NO_CAPACITY]);
}

/// Guards against an outdated capacity: after a restart, a side used to receive from its entries and from the store the
/// capacity that the target had before it shrank.
#[test]
fn entries_and_the_store_receive_each_change() {
    let mut side = Side::ready();
    let small = capacity(500, 4_096, 0);
    let effects = resize(&mut side, 1_010, small);
    assert_eq!(stored_capacities(&effects), [small]);
    let mut entries = sent_capacities(&effects);
    entries.extend(sent_capacities(&side.step(1_100, AgentEvent::Tick)));
    assert_eq!(entries, [small]);
    let effects = resize(&mut side, 1_510, small);
    assert_eq!(
        stored_capacities(&effects),
        [],
        "an unchanged profile is not stored again"
    );
}

#[test]
fn a_report_of_the_target_replaces_the_remembered_profile() {
    let settings = AgentSettings::new("side-1".into(), Incarnation(2), "hall".into());
    let mut side = Side {
        agent: TargetAgent::new(settings),
    };
    side.step(0, AgentEvent::TargetRemembered(profile()));
    let effects = side.step(1, AgentEvent::Tick);
    if probe_number(&effects).is_some() {
        side.answer_probe(2, &effects, 1_000, Vec::new());
    }
    let small = capacity(500, 4_096, 0);
    let effects = resize(&mut side, 3, small);
    assert_eq!(stored_capacities(&effects), [small]);
    assert_eq!(side.agent.capacity(), small);
}
