//! Decisions that a side records about runs that continue although they are over for their entries.

mod common;

use common::side::*;
use mastknot_core::agent::{AgentDecision, AgentEffect, AgentEvent, TargetRunning, TargetView};
use mastknot_core::job::EntryOrder;

/// Returns the decisions about unanswered stops and unclaimed runs.
fn stop_decisions(effects: &[AgentEffect]) -> Vec<AgentDecision> {
    let decided = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Decided(decision) => Some(decision.clone()),
        _ => None,
    });
    let is_about_stops = |decision: &AgentDecision| {
        matches!(
            decision,
            AgentDecision::StopUnanswered { .. } | AgentDecision::Unclaimed { .. }
        )
    };
    decided.filter(is_about_stops).collect()
}

fn stop_answered(is_acknowledged: bool) -> AgentEvent {
    AgentEvent::StopAnswered {
        run: run(1),
        is_acknowledged,
    }
}

/// Answers the pending probe with a list of these jobs' runs as under way.
fn answer_listing(
    side: &mut Side,
    ms: u64,
    effects: &[AgentEffect],
    jobs: &[u64],
) -> Vec<AgentEffect> {
    let number = probe_number(effects).expect("a probe is under way");
    let running = jobs.iter().map(|job| TargetRunning {
        run: run(*job),
        percent: 40,
    });
    let result = Ok(TargetView {
        clock_ms: 1_000 + ms,
        running: running.collect(),
        ..TargetView::default()
    });
    side.step(ms, AgentEvent::Probed { number, result })
}

#[test]
fn a_stop_without_an_acknowledgement_is_reported_with_its_count_and_duration() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    side.order(1_010, ENTRY, EntryOrder::Stop(run(1)));
    let first = side.step(1_060, stop_answered(false));
    let retried = side.step(1_110, AgentEvent::Tick);
    assert_eq!(stopped(&retried), [run(1)]);
    let second = side.step(1_160, stop_answered(false));
    let unanswered = |times, since_ms| AgentDecision::StopUnanswered {
        run: run(1),
        times,
        since_ms,
    };
    assert_eq!(stop_decisions(&first), [unanswered(1, 50)]);
    assert_eq!(stop_decisions(&second), [unanswered(2, 150)]);
    let acknowledged = side.step(1_161, stop_answered(true));
    let late = side.step(1_162, stop_answered(false));
    assert_eq!(stop_decisions(&[acknowledged, late].concat()), []);
}

#[test]
fn an_unclaimed_run_is_reported_once_and_stopped_with_each_probe() {
    let mut side = Side::ready();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    let first = answer_listing(&mut side, 1_020, &effects, &[1, 2]);
    let second = answer_listing(&mut side, 1_040, &first, &[1, 2]);
    let not_listed = answer_listing(&mut side, 1_060, &second, &[1]);
    let listed_again = answer_listing(&mut side, 1_080, &not_listed, &[1, 2]);
    let unclaimed = AgentDecision::Unclaimed {
        run: run(2),
        percent: 40,
    };
    assert_eq!(stop_decisions(&first), std::slice::from_ref(&unclaimed));
    assert_eq!(stop_decisions(&second), []);
    assert_eq!(stopped(&second), [run(2)]);
    assert_eq!(stop_decisions(&not_listed), []);
    assert_eq!(stop_decisions(&listed_again), [unclaimed]);
}
