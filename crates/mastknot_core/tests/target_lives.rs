//! Late reports of a target: from an incarnation that has ended, or older than another report of the same
//! incarnation.

mod common;

use common::side::*;
use mastknot_core::agent::{
    AgentEffect, AgentEvent, ProbeFailure, TargetReport, TargetRunning, TargetView,
};
use mastknot_core::job::{EndOfRun, TargetCondition};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

fn reported(report: TargetReport) -> AgentEvent {
    AgentEvent::TargetReported(report)
}

fn target_name(side: &Side) -> String {
    let target = side.agent.target().expect("a target is known");
    target.id.name.to_string()
}

/// Answers the pending probe: the requested incarnation is alive and runs these jobs.
fn answer_alive(
    side: &mut Side,
    ms: u64,
    effects: &[AgentEffect],
    running: &[u64],
) -> Vec<AgentEffect> {
    let number = probe_number(effects).expect("a probe is under way");
    let running = running.iter().map(|job| TargetRunning {
        run: run(*job),
        percent: 10,
    });
    let result = Ok(TargetView {
        clock_ms: 1_000 + ms,
        started_at_ms: 0,
        running: running.collect(),
        finished: Vec::new(),
    });
    side.step(ms, AgentEvent::Probed { number, result })
}

/// Answers the pending probe: another incarnation runs in place of the requested one.
fn answer_other_incarnation(side: &mut Side, ms: u64, effects: &[AgentEffect]) -> Vec<AgentEffect> {
    let number = probe_number(effects).expect("a probe is under way");
    let result = Err(ProbeFailure::OtherIncarnation);
    side.step(ms, AgentEvent::Probed { number, result })
}

/// Ends the known incarnation at 1,000 ms and reads the clock of the one that replaces it.
fn replace_incarnation(side: &mut Side, target: &str) {
    let effects = side.step(1_000, reported(report(target, 1)));
    let effects = answer_other_incarnation(side, 1_001, &effects);
    answer_alive(side, 1_001, &effects, &[]);
}

/// A partition delayed a report while its sender crashed and the next incarnation started: the side used to count all
/// runs of the next incarnation as lost, and entries started them again beside the runs that continued.
#[test]
fn a_late_report_of_an_ended_incarnation_loses_no_run() {
    let mut side = Side::ready();
    replace_incarnation(&mut side, "target-2");
    side.order(1_002, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(report("target-1", 9)));
    assert_eq!(ends(&effects), []);
    assert_eq!(
        probe_number(&effects),
        None,
        "the incarnation is known to have ended"
    );
    assert_eq!(target_name(&side), "target-2");
    assert_eq!(side.agent.runs().len(), 1);
}

/// A side that has just started knows neither incarnation; a probe of the target shows which one runs.
#[test]
fn a_late_report_of_an_unknown_incarnation_is_resolved_by_a_probe() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(report("target-0", 9)));
    assert_eq!(ends(&effects), []);
    let effects = answer_alive(&mut side, 1_011, &effects, &[1]);
    assert_eq!(ends(&effects), []);
    assert_eq!(side.agent.runs().len(), 1);
    assert_eq!(target_name(&side), "target-1");
}

#[test]
fn the_next_incarnation_takes_over_as_soon_as_a_probe_shows_it() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(report("target-2", 1)));
    let effects = answer_other_incarnation(&mut side, 1_011, &effects);
    assert_eq!(ends(&effects), [EndOfRun::Crashed]);
    assert_eq!(target_name(&side), "target-2");
}

/// Guards against an incarnation that waits forever because no other sign shows that the previous one has crashed.
#[test]
fn a_silent_incarnation_without_runs_is_replaced() {
    let mut side = Side::ready();
    let mut effects = side.step(1_010, reported(report("target-2", 1)));
    for ms in [1_100, 1_250, 1_400, 1_550] {
        let Some(number) = probe_number(&effects) else {
            effects = side.step(ms, AgentEvent::Tick);
            continue;
        };
        let result = Err(ProbeFailure::Silent);
        effects = side.step(ms, AgentEvent::Probed { number, result });
    }
    assert_eq!(target_name(&side), "target-2");
}

/// A target that refuses connections for a moment is still the same incarnation.
#[test]
fn a_target_that_refused_a_connection_is_accepted_again() {
    let mut side = Side::ready();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    let number = probe_number(&effects).expect("a probe is under way");
    let result = Err(ProbeFailure::Refused);
    side.step(1_010, AgentEvent::Probed { number, result });
    assert!(side.agent.target().is_none());
    side.step(1_500, reported(report("target-1", 7)));
    assert_eq!(target_name(&side), "target-1");
}

/// A target that had reported that it was leaving used to get work again because of an older report.
#[test]
fn a_late_report_of_the_same_incarnation_does_not_undo_a_newer_one() {
    let mut side = Side::ready();
    let leaving = TargetReport {
        is_draining: true,
        ..report("target-1", 5)
    };
    side.step(1_001, reported(leaving));
    side.step(1_002, reported(report("target-1", 4)));
    assert_eq!(side.agent.condition(), TargetCondition::Draining);
}

/// Reports of three incarnations arrive in random orders while the third one runs: its runs are never given up, and
/// it is the known target in the end.
#[test]
fn no_order_of_arrival_brings_an_older_incarnation_back() {
    for seed in 0..200 {
        let mut order: Vec<u64> = (0..9).collect();
        order.shuffle(&mut StdRng::seed_from_u64(seed));
        let mut side = Side::ready();
        replace_incarnation(&mut side, "target-3");
        side.order(1_002, ENTRY, start(1, 1_000));
        let mut ms = 1_003;
        for number in order {
            let late = report(&format!("target-{}", number / 3 + 1), number);
            let effects = side.step(ms, reported(late));
            assert_eq!(ends(&effects), [], "seed {seed}");
            if probe_number(&effects).is_some() {
                let effects = answer_alive(&mut side, ms + 1, &effects, &[1]);
                assert_eq!(ends(&effects), [], "seed {seed}");
            }
            ms += 2;
        }
        assert_eq!(side.agent.runs().len(), 1, "seed {seed}");
        assert_eq!(target_name(&side), "target-3", "seed {seed}");
    }
}
