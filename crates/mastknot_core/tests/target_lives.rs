//! Reports of a target that come late: of a life that is over, or older than one of the same life.

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

/// Answers the look under way: the life that it asks for is there and runs this.
fn alive(side: &mut Side, ms: u64, effects: &[AgentEffect], running: &[u64]) -> Vec<AgentEffect> {
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

/// Answers the look under way: another life is there.
fn over(side: &mut Side, ms: u64, effects: &[AgentEffect]) -> Vec<AgentEffect> {
    let number = probe_number(effects).expect("a probe is under way");
    let result = Err(ProbeFailure::OtherIncarnation);
    side.step(ms, AgentEvent::Probed { number, result })
}

/// The known life ends at 1,000 ms and another one is there, whose clock is read.
fn replace_life(side: &mut Side, target: &str) {
    let effects = side.step(1_000, reported(report(target, 1)));
    let effects = over(side, 1_001, &effects);
    alive(side, 1_001, &effects, &[]);
}

/// A cut held a report back while its sender crashed and the next life came: the side counted all that ran there
/// as lost, and entries started it again beside the runs that went on.
#[test]
fn a_late_report_of_an_ended_life_loses_no_run() {
    let mut side = Side::ready();
    replace_life(&mut side, "target-2");
    side.order(1_002, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(report("target-1", 9)));
    assert_eq!(ends(&effects), []);
    assert_eq!(probe_number(&effects), None, "it is known to be over");
    assert_eq!(target_name(&side), "target-2");
    assert_eq!(side.agent.runs().len(), 1);
}

/// A side that has just started knows neither life: the target itself tells which one is there.
#[test]
fn a_late_report_of_an_unknown_life_is_settled_by_a_look() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(report("target-0", 9)));
    assert_eq!(ends(&effects), []);
    let effects = alive(&mut side, 1_011, &effects, &[1]);
    assert_eq!(ends(&effects), []);
    assert_eq!(side.agent.runs().len(), 1);
    assert_eq!(target_name(&side), "target-1");
}

#[test]
fn the_next_life_takes_over_as_soon_as_the_target_says_so() {
    let mut side = Side::ready();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(report("target-2", 1)));
    let effects = over(&mut side, 1_011, &effects);
    assert_eq!(ends(&effects), [EndOfRun::Crashed]);
    assert_eq!(target_name(&side), "target-2");
}

/// After a crash that nobody notices otherwise the next life must not wait for ever.
#[test]
fn a_silent_life_without_runs_gives_way() {
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

/// A target that refuses connections for a moment is no other one.
#[test]
fn a_target_that_refused_a_connection_is_taken_again() {
    let mut side = Side::ready();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    let number = probe_number(&effects).expect("a probe is under way");
    let result = Err(ProbeFailure::Refused);
    side.step(1_010, AgentEvent::Probed { number, result });
    assert!(side.agent.target().is_none());
    side.step(1_500, reported(report("target-1", 7)));
    assert_eq!(target_name(&side), "target-1");
}

/// A target that had said that it leaves was given work again by a report from before.
#[test]
fn a_late_report_of_the_same_life_does_not_undo_a_newer_one() {
    let mut side = Side::ready();
    let leaving = TargetReport {
        is_draining: true,
        ..report("target-1", 5)
    };
    side.step(1_001, reported(leaving));
    side.step(1_002, reported(report("target-1", 4)));
    assert_eq!(side.agent.condition(), TargetCondition::Draining);
}

/// Reports of three lives in random orders, with the third one there: what runs on it is never given up, and it is
/// the target in the end.
#[test]
fn no_order_of_arrival_brings_an_older_life_back() {
    for seed in 0..200 {
        let mut order: Vec<u64> = (0..9).collect();
        order.shuffle(&mut StdRng::seed_from_u64(seed));
        let mut side = Side::ready();
        replace_life(&mut side, "target-3");
        side.order(1_002, ENTRY, start(1, 1_000));
        let mut ms = 1_003;
        for place in order {
            let late = report(&format!("target-{}", place / 3 + 1), place);
            let effects = side.step(ms, reported(late));
            assert_eq!(ends(&effects), [], "seed {seed}");
            if probe_number(&effects).is_some() {
                let effects = alive(&mut side, ms + 1, &effects, &[1]);
                assert_eq!(ends(&effects), [], "seed {seed}");
            }
            ms += 2;
        }
        assert_eq!(side.agent.runs().len(), 1, "seed {seed}");
        assert_eq!(target_name(&side), "target-3", "seed {seed}");
    }
}
