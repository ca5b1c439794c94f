//! State machine of a side: its orders to the target, the time for which it lets the target hold runs, its reports and
//! its refusals.

mod common;

use std::time::Duration;

use common::side::*;
use mastknot_core::agent::{
    AgentEffect, AgentEvent, AgentSettings, FinishReason, OrderOutcome, ProbeFailure, TargetAgent,
    TargetFinished, TargetView,
};
use mastknot_core::job::{EndOfRun, EntryOrder, LeaseTerms, NotRunCause, TargetCondition};
use mastknot_core::types::Incarnation;

#[test]
fn the_usual_leases_are_safe() {
    assert!(LeaseTerms::default().are_safe(Duration::from_millis(50)));
    let too_soon = LeaseTerms {
        run_over_after: Duration::from_millis(505),
        ..LeaseTerms::default()
    };
    assert!(
        !too_soon.are_safe(Duration::from_millis(50)),
        "the hold may outlive `run_over_after` by 2 percent"
    );
}

#[test]
fn a_start_is_ordered_while_capacity_is_free_and_turned_away_after() {
    let mut side = Side::ready();
    assert_eq!(
        ordered(&side.order(1_001, ENTRY, start(1, 2_500))),
        [run(1)]
    );
    let effects = side.order(1_002, ENTRY, start(2, 2_500));
    assert_eq!(ordered(&effects), []);
    assert_eq!(ends(&effects), [EndOfRun::NotRun(NotRunCause::NoRoom)]);
    assert_eq!(side.agent.free_capacity().cpu_millis, 1_500);
}

#[test]
fn a_silent_entry_loses_its_runs_when_its_lease_ends() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    assert_eq!(stopped(&side.step(1_350, AgentEvent::Tick)), []);
    let effects = side.step(1_352, AgentEvent::Tick);
    assert_eq!(stopped(&effects), [run(1)]);
    assert!(effects.contains(&AgentEffect::Close { session: ENTRY }));
}

#[test]
fn a_heartbeat_that_names_an_old_report_does_not_extend_the_lease() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    let heartbeat = EntryOrder::Heartbeat {
        last_received: 0,
        need: None,
        update: None,
    };
    side.order(1_300, ENTRY, heartbeat);
    let effects = side.step(1_352, AgentEvent::Tick);
    assert_eq!(
        stopped(&effects),
        [run(1)],
        "orders delayed by a partition do not show that the entry is alive"
    );
}

#[test]
fn the_hold_follows_the_oldest_lease_under_which_something_runs() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    side.join(1_200, OTHER, "entry-2", 1);
    let effects = side.order(1_201, OTHER, start(2, 1_000));
    let hold = effects.iter().find_map(|effect| match effect {
        AgentEffect::Order { hold_until_ms, .. } => Some(*hold_until_ms),
        _ => None,
    });
    // The first entry's lease counts from 1,000 ms. The target's clock read 1,002 ms at 3 ms and may have run up to 3
    // percent slow since then; the hold must not exceed the lease.
    let shown_at_least = 1_002 + 967;
    assert_eq!(hold, Some(shown_at_least + 500));
}

/// A run under an old lease used to be held for as long as the younger lease of another entry made the target hold.
#[test]
fn a_start_under_a_lease_that_the_hold_outlives_is_turned_away() {
    let outlived = EndOfRun::NotRun(NotRunCause::Late);
    for (joined, expected) in [(1_050, Vec::new()), (1_120, vec![outlived])] {
        let mut side = Side::ready();
        side.join(joined, OTHER, "entry-2", 1);
        side.order(joined + 1, OTHER, start(1, 500));
        let effects = side.order(1_200, ENTRY, start(2, 500));
        assert_eq!(ends(&effects), expected, "the other joined at {joined} ms");
        assert_eq!(ordered(&effects).len(), 1 - expected.len());
    }
}

#[test]
fn an_unanswered_order_is_probed_and_stopped_before_it_is_reported_as_not_run() {
    let mut side = Side::ready();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    assert!(probe_number(&effects).is_some());
    let outcome = OrderOutcome::NoAnswer;
    let effects = side.step(
        1_051,
        AgentEvent::OrderAnswered {
            run: run(1),
            outcome,
        },
    );
    let effects = side.answer_probe(1_052, &effects, 2_051, Vec::new());
    assert_eq!(
        stopped(&effects),
        [run(1)],
        "the target may still carry out the order"
    );
    assert_eq!(ends(&effects), []);
    let is_acknowledged = true;
    side.step(
        1_053,
        AgentEvent::StopAnswered {
            run: run(1),
            is_acknowledged,
        },
    );
    let number = probe_number(&effects).expect("a probe");
    let view = TargetView {
        clock_ms: 2_054,
        started_at_ms: 0,
        ..TargetView::default()
    };
    let effects = side.step(
        1_054,
        AgentEvent::Probed {
            number,
            result: Ok(view),
        },
    );
    assert_eq!(
        ends(&effects),
        [],
        "this probe was sent before the stop was acknowledged"
    );
    let effects = side.answer_probe(1_066, &effects, 2_065, Vec::new());
    assert_eq!(
        ends(&effects),
        [EndOfRun::NotRun(NotRunCause::TargetUnavailable)]
    );
}

#[test]
fn a_target_that_fails_three_runs_in_a_row_gets_one_at_a_time_and_leaves_no_timer_in_the_past() {
    let mut side = Side::ready();
    let mut effects = Vec::new();
    for number in 1..=3 {
        effects.extend(side.order(1_000 + number, ENTRY, start(number, 500)));
    }
    let finished = (1..=3).map(|number| TargetFinished {
        number,
        run: run(number),
        reason: FinishReason::Failed,
    });
    let effects = side.answer_probe(1_010, &effects, 2_009, finished.collect());
    let is_target_suspect = true;
    assert_eq!(
        ends(&effects).last(),
        Some(&EndOfRun::Failed { is_target_suspect })
    );
    assert_eq!(
        side.agent.condition(),
        TargetCondition::Absent,
        "the target is paused"
    );
    side.step(1_070, AgentEvent::Tick);
    assert_eq!(side.agent.condition(), TargetCondition::Probation);
    side.order(1_071, ENTRY, start(4, 500));
    assert_eq!(side.agent.free_capacity().cpu_millis, 0, "one at a time");
    let next = side.agent.next_tick().expect("leases and reports are due");
    assert!(next > at(1_071), "{next:?}");
}

#[test]
fn a_dead_target_ends_all_runs_at_once_and_a_silent_one_when_its_hold_has_run_out() {
    let mut dead = Side::ready();
    let effects = dead.order(1_001, ENTRY, start(1, 1_000));
    let number = probe_number(&effects).expect("a probe");
    let result = Err(ProbeFailure::Refused);
    let effects = dead.step(1_010, AgentEvent::Probed { number, result });
    assert_eq!(ends(&effects), [EndOfRun::Crashed]);

    let mut silent = Side::ready();
    let mut effects = silent.order(1_001, ENTRY, start(1, 1_000));
    let mut over_at = None;
    for ms in (1_101..2_000).step_by(10) {
        if let Some(number) = probe_number(&effects) {
            let result = Err(ProbeFailure::Silent);
            effects = silent.step(ms, AgentEvent::Probed { number, result });
        } else {
            effects = silent.step(ms, AgentEvent::Tick);
        }
        if silent.agent.runs().is_empty() {
            over_at = over_at.or(Some(ms));
        }
    }
    // The hold ends 500 ms after the lease began at 1,000 ms. The clock was read 1.5 s earlier and may run up to 3
    // percent slow.
    let over_at = over_at.expect("the run is over");
    assert!((1_500..1_560).contains(&over_at), "{over_at}");
}

#[test]
fn a_remembered_profile_is_used_until_the_target_reports_or_ends() {
    let settings = AgentSettings::new("side-1".into(), Incarnation(2), "hall".into());
    let mut side = Side {
        agent: TargetAgent::new(settings),
    };
    side.step(0, AgentEvent::TargetRemembered(profile()));
    let effects = side.step(1, AgentEvent::Tick);
    assert!(side.agent.target().is_some());
    let number = probe_number(&effects).or(Some(1)).expect("a probe");
    let result = Err(ProbeFailure::OtherIncarnation);
    side.step(2, AgentEvent::Probed { number, result });
    assert!(side.agent.target().is_none(), "another incarnation answers");
    side.step(3, AgentEvent::TargetRemembered(profile()));
    assert!(
        side.agent.target().is_none(),
        "the remembered profile is no longer valid"
    );
}

fn probes(effects: &[AgentEffect]) -> usize {
    let probes = effects.iter();
    probes
        .filter(|effect| matches!(effect, AgentEffect::Probe { .. }))
        .count()
}

#[test]
fn the_clock_of_an_idle_target_is_read_every_two_seconds() {
    let mut side = Side::ready();
    assert_eq!(probes(&side.step(2_000, AgentEvent::Tick)), 0);
    let effects = side.step(2_003, AgentEvent::Tick);
    let wait = effects.iter().find_map(|effect| match effect {
        AgentEffect::Probe { wait, .. } => Some(*wait),
        _ => None,
    });
    assert_eq!(
        wait,
        Some(Duration::ZERO),
        "no run is under way whose end the probe could wait for"
    );
    side.answer_probe(2_004, &effects, 3_000, Vec::new());
    assert_eq!(probes(&side.step(4_003, AgentEvent::Tick)), 0);
    assert_eq!(probes(&side.step(4_004, AgentEvent::Tick)), 1);
}

/// A side that was suspended, or whose VM was, does not know the current reading of its target's clock.
#[test]
fn nothing_is_started_on_a_stale_clock_reading() {
    let mut side = Side::ready();
    side.join(9_000, OTHER, "entry-2", 1);
    let effects = side.order(9_001, OTHER, start(1, 1_000));
    assert_eq!(ordered(&effects), []);
    let stale = EndOfRun::NotRun(NotRunCause::TargetUnavailable);
    assert_eq!(ends(&effects), [stale]);
}
