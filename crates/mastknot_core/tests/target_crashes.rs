//! Detection of a crash of a target by its side, as opposed to other losses of runs.

mod common;

use common::side::*;
use mastknot_core::agent::{
    AgentDecision, AgentEffect, AgentEvent, OrderOutcome, ProbeFailure, TargetReport,
};
use mastknot_core::job::{CrashedRun, EndOfRun, TargetCrash, TargetId, TaskKind};

fn crashes(effects: &[AgentEffect]) -> Vec<TargetCrash> {
    let crashes = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Decided(AgentDecision::TargetCrashed(crash)) => Some(crash.clone()),
        _ => None,
    });
    crashes.collect()
}

fn crashed(job: u64, ran_ms: u32) -> CrashedRun {
    CrashedRun {
        run: run(job),
        kind: TaskKind::default(),
        ran_ms,
        has_begun: true,
        may_have_ended: false,
    }
}

fn probed(side: &mut Side, ms: u64, number: u64, failure: ProbeFailure) -> Vec<AgentEffect> {
    let result = Err(failure);
    side.step(ms, AgentEvent::Probed { number, result })
}

/// Reports the target's answer that it has started a job's run.
fn started(side: &mut Side, ms: u64, job: u64) {
    let clock_ms = ms + 1_000;
    let outcome = OrderOutcome::Started { clock_ms };
    let run = run(job);
    side.step(ms, AgentEvent::OrderAnswered { run, outcome });
}

/// Returns a side whose target runs two jobs, and the number of the probe that is under way.
fn busy() -> (Side, u64) {
    let mut side = Side::ready();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    started(&mut side, 1_002, 1);
    side.order(1_031, ENTRY, start(2, 1_000));
    started(&mut side, 1_032, 2);
    let number = probe_number(&effects).expect("a probe is under way");
    (side, number)
}

#[test]
fn a_crash_names_what_ran_there_the_youngest_first() {
    let (mut side, number) = busy();
    let effects = probed(&mut side, 1_041, number, ProbeFailure::Refused);
    assert_eq!(ends(&effects), [EndOfRun::Crashed, EndOfRun::Crashed]);
    let crash = TargetCrash {
        target: TargetId::named("target-1"),
        ago_ms: 0,
        was_silent: false,
        runs: vec![crashed(2, 10), crashed(1, 40)],
    };
    assert_eq!(crashes(&effects), [crash]);
}

#[test]
fn another_incarnation_in_place_of_the_known_one_is_a_crash() {
    let (mut side, number) = busy();
    let effects = probed(&mut side, 1_041, number, ProbeFailure::OtherIncarnation);
    assert_eq!(ends(&effects), [EndOfRun::Crashed, EndOfRun::Crashed]);
    assert_eq!(crashes(&effects).len(), 1);
}

/// A start that reaches a target that has just crashed is refused at once. When such refusals were counted with
/// unanswered probes, the target appeared silent, and its crash gave no evidence about the task that had caused it.
#[test]
fn a_refused_start_does_not_count_as_silence() {
    for is_refused_first in [true, false] {
        let (mut side, number) = busy();
        side.order(1_040, ENTRY, start(3, 1_000));
        let refused = AgentEvent::OrderAnswered {
            run: run(3),
            outcome: OrderOutcome::Unreachable,
        };
        let effects = match is_refused_first {
            true => side.step(1_041, refused),
            false => {
                let effects = probed(&mut side, 1_041, number, ProbeFailure::Silent);
                side.step(1_041, refused);
                effects
            }
        };
        let number = probe_number(&effects).expect("the target is probed again at once");
        let effects = probed(&mut side, 1_042, number, ProbeFailure::Refused);
        let crash = crashes(&effects).pop().expect("the target has crashed");
        assert!(!crash.was_silent, "refused first: {is_refused_first}");
        assert_eq!(crash.runs, [crashed(2, 10), crashed(1, 40)]);
    }
}

/// The target crashed at some time after its last message, long before the crash was detected.
#[test]
fn a_crash_that_only_the_next_call_reveals_has_no_known_time() {
    let (mut side, _) = busy();
    side.order(1_132, ENTRY, start(3, 1_000));
    let refused = AgentEvent::OrderAnswered {
        run: run(3),
        outcome: OrderOutcome::Unreachable,
    };
    let effects = side.step(1_133, refused);
    let number = probe_number(&effects).expect("the target is probed again at once");
    let effects = probed(&mut side, 1_134, number, ProbeFailure::Refused);
    let crash = crashes(&effects).pop().expect("the target has crashed");
    assert!(crash.was_silent);
    assert_eq!(crash.runs, [crashed(2, 1), crashed(1, 31)]);
}

#[test]
fn a_target_that_leaves_has_not_crashed() {
    let (mut side, _) = busy();
    let target = TargetId::named("target-1");
    let effects = side.step(1_041, AgentEvent::TargetLeft { target });
    assert_eq!(ends(&effects), [EndOfRun::Lost, EndOfRun::Lost]);
    assert_eq!(crashes(&effects), []);

    let (mut draining, number) = busy();
    let leaving = TargetReport {
        is_draining: true,
        ..report("target-1", 2)
    };
    draining.step(1_035, AgentEvent::TargetReported(leaving));
    let effects = probed(&mut draining, 1_041, number, ProbeFailure::Refused);
    assert_eq!(ends(&effects), [EndOfRun::Lost, EndOfRun::Lost]);
    assert_eq!(
        crashes(&effects),
        [],
        "the report that it has left was lost"
    );
}

/// Keeps the target silent until its hold has expired; returns that time and the last effects.
fn fall_silent(side: &mut Side, first_probe: u64) -> (u64, Vec<AgentEffect>) {
    let mut number = Some(first_probe);
    for ms in (1_101..2_500).step_by(10) {
        let effects = match number.take() {
            Some(number) => probed(side, ms, number, ProbeFailure::Silent),
            None => side.step(ms, AgentEvent::Tick),
        };
        number = probe_number(&effects);
        if ends(&effects).contains(&EndOfRun::Lost) || side.agent.runs().is_empty() {
            return (ms, effects);
        }
    }
    panic!("the hold never expired");
}

#[test]
fn silence_is_not_a_crash_until_another_incarnation_answers() {
    let (mut side, number) = busy();
    let (ms, effects) = fall_silent(&mut side, number);
    assert_eq!(crashes(&effects), []);
    let mut effects = side.step(ms + 1, AgentEvent::TargetReported(report("target-2", 1)));
    let mut seen = crashes(&effects);
    for later in 1..100 {
        if !seen.is_empty() {
            break;
        }
        effects = match probe_number(&effects) {
            Some(number) => probed(&mut side, ms + later * 10, number, ProbeFailure::Refused),
            None => side.step(ms + later * 10, AgentEvent::Tick),
        };
        seen = crashes(&effects);
    }
    let crash = seen.first().expect("the known incarnation has ended");
    assert_eq!(crash.target, TargetId::named("target-1"));
    // The target last answered at 1,032 ms: it is not known how long the runs continued after that.
    assert_eq!(crash.runs, [crashed(2, 1), crashed(1, 31)]);
}

#[test]
fn a_target_that_answers_after_a_silence_has_not_crashed() {
    let (mut side, number) = busy();
    let (ms, effects) = fall_silent(&mut side, number);
    let mut effects = effects;
    for later in 1..100 {
        if probe_number(&effects).is_some() {
            break;
        }
        effects = side.step(ms + later * 10, AgentEvent::Tick);
    }
    let effects = side.answer_probe(ms + 1_000, &effects, ms + 2_000, Vec::new());
    assert_eq!(crashes(&effects), []);
    side.join(ms + 1_001, ENTRY, "entry-1", 1);
    let effects = side.order(ms + 1_002, ENTRY, start(3, 1_000));
    let number = probe_number(&effects).expect("a probe is under way");
    let effects = probed(&mut side, ms + 1_012, number, ProbeFailure::Refused);
    let jobs = crashes(&effects).into_iter().flat_map(|crash| crash.runs);
    let jobs: Vec<u64> = jobs.map(|row| row.run.task.job.0).collect();
    assert_eq!(
        jobs,
        [3],
        "runs that the silence ended are not part of the crash"
    );
}
