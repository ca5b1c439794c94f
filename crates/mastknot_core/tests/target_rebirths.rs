//! Targets that restart under the same name.

mod common;

use common::side::*;
use mastknot_core::agent::{
    AgentEffect, AgentEvent, FinishReason, OrderOutcome, OrderRefusal, ProbeFailure,
    TargetFinished, TargetReport, TargetRunning, TargetView,
};
use mastknot_core::job::{EndOfRun, TargetCondition, TargetId};

/// Start time of the first incarnation, in milliseconds.
const FIRST: u64 = 5_000;
/// Start time of the second incarnation, in milliseconds.
const SECOND: u64 = 9_000;
/// Clock reading of the first incarnation when the side starts, in milliseconds.
const OLD_CLOCK_MS: u64 = 500_000;

fn reported(started_at_ms: u64, number: u64) -> AgentEvent {
    let mut report = report("target", number);
    report.profile.id = TargetId::started_at("target", started_at_ms);
    AgentEvent::TargetReported(report)
}

fn view(started_at_ms: u64, clock_ms: u64, running: &[u64]) -> TargetView {
    let running = running.iter().map(|job| TargetRunning {
        run: run(*job),
        percent: 10,
    });
    TargetView {
        clock_ms,
        started_at_ms,
        running: running.collect(),
        finished: Vec::new(),
    }
}

/// Answers the pending probe.
fn answer(side: &mut Side, ms: u64, effects: &[AgentEffect], view: TargetView) -> Vec<AgentEffect> {
    let number = probe_number(effects).expect("a probe is under way");
    let result = Ok(view);
    side.step(ms, AgentEvent::Probed { number, result })
}

/// Returns a side that knows the first incarnation, whose clock is far ahead of that of a new one, linked to one
/// entry at 1,000 ms.
fn side() -> Side {
    let mut side = Side::unknown();
    let effects = side.step(0, AgentEvent::Tick);
    let effects = answer(&mut side, 1, &effects, view(FIRST, OLD_CLOCK_MS, &[]));
    answer(&mut side, 3, &effects, view(FIRST, OLD_CLOCK_MS, &[]));
    side.step(4, reported(FIRST, 300));
    side.join(1_000, ENTRY, "entry-1", 1);
    side
}

fn started(side: &mut Side, ms: u64, job: u64, clock_ms: u64) -> Vec<AgentEffect> {
    let outcome = OrderOutcome::Started { clock_ms };
    let run = run(job);
    side.step(ms, AgentEvent::OrderAnswered { run, outcome })
}

fn probe_token(effects: &[AgentEffect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        AgentEffect::Probe { token, .. } => Some(*token),
        _ => None,
    })
}

fn last_seen(effects: &[AgentEffect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        AgentEffect::Probe { last_seen, .. } => Some(*last_seen),
        _ => None,
    })
}

/// The report numbers of a new incarnation start at 1. When its reports were taken for late ones, the target stayed
/// unknown for as long as the earlier incarnation had lasted.
#[test]
fn the_next_incarnation_is_accepted_although_its_report_numbers_are_lower() {
    let mut side = side();
    side.order(1_001, ENTRY, start(1, 1_000));
    started(&mut side, 1_002, 1, OLD_CLOCK_MS + 998);
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
    assert_eq!(ends(&effects), [EndOfRun::Crashed]);
    let target = side.agent.target().expect("a target is known");
    assert_eq!(target.id, TargetId::started_at("target", SECOND));
}

/// The first report leaves out the start time of its incarnation, while probes carry it. When each later report was
/// taken for one of another incarnation and thus for a late one, the side never learned that the target had less
/// capacity or was leaving.
#[test]
fn an_incarnation_whose_first_report_left_out_its_start_time_is_the_known_one() {
    let mut side = Side::unknown();
    let effects = side.step(0, AgentEvent::Tick);
    let effects = answer(&mut side, 1, &effects, view(FIRST, OLD_CLOCK_MS, &[]));
    answer(&mut side, 3, &effects, view(FIRST, OLD_CLOCK_MS, &[]));
    side.step(4, reported(0, 1));
    let mut shrunk = report("target", 2);
    shrunk.profile.id = TargetId::started_at("target", FIRST);
    shrunk.profile.capacity.cpu_millis = 1_000;
    side.step(200, AgentEvent::TargetReported(shrunk.clone()));
    assert_eq!(side.agent.target(), Some(&shrunk.profile));
    assert_eq!(side.agent.free_capacity().cpu_millis, 1_000);
    let effects = side.step(400, reported(SECOND, 1));
    assert!(
        probe_number(&effects).is_some(),
        "the other incarnation is probed"
    );
    assert_eq!(side.agent.target(), Some(&shrunk.profile));
}

/// No report has arrived; the probe itself shows the restart.
#[test]
fn a_probe_shows_that_another_incarnation_answers() {
    let mut side = side();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    let effects = match probe_number(&effects) {
        Some(_) => effects,
        None => started(&mut side, 1_002, 1, OLD_CLOCK_MS + 998),
    };
    let effects = answer(&mut side, 1_050, &effects, view(SECOND, 20, &[]));
    let is_stopped = stopped(&effects) == [run(1)];
    assert!(is_stopped || ends(&effects) == [EndOfRun::Crashed]);
    assert!(side.agent.target().is_none());
}

/// The ends of runs on the next incarnation are numbered from 1: none of them counts as already recorded.
#[test]
fn the_first_ends_on_the_next_incarnation_are_not_ignored() {
    let mut side = side();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    let finished = vec![TargetFinished {
        number: 57,
        run: run(1),
        reason: FinishReason::Done,
    }];
    let done = TargetView {
        finished,
        ..view(FIRST, OLD_CLOCK_MS + 1_050, &[])
    };
    answer(&mut side, 1_100, &effects, done);
    let effects = side.step(1_110, reported(SECOND, 1));
    assert_eq!(last_seen(&effects), Some(57));
    let effects = answer(&mut side, 1_111, &effects, view(SECOND, 20, &[]));
    assert_eq!(last_seen(&effects), Some(0));
}

/// An order meant for the earlier incarnation may still arrive: the first probe of the next incarnation fences it.
#[test]
fn the_next_incarnation_is_probed_with_a_higher_token() {
    let mut side = side();
    let effects = side.step(1_010, reported(SECOND, 1));
    let before = probe_token(&effects).expect("a probe is under way");
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
    let first = probe_token(&effects).expect("a probe is under way");
    assert!(first > before, "{first}, before {before}");
    let effects = answer(&mut side, 1_012, &effects, view(SECOND, 21, &[]));
    assert!(ordered(&effects).is_empty());
    assert_eq!(side.agent.condition(), TargetCondition::Ready);
}

/// Runs that the next incarnation accepted before the first probe are stopped, whether they are listed or their order
/// has no answer yet.
#[test]
fn runs_that_the_next_incarnation_may_have_are_not_reported_as_ended() {
    let mut side = side();
    side.order(1_001, ENTRY, start(1, 1_000));
    side.order(1_001, ENTRY, start(2, 1_000));
    side.order(1_001, ENTRY, start(3, 1_000));
    started(&mut side, 1_002, 1, OLD_CLOCK_MS + 998);
    started(&mut side, 1_002, 3, OLD_CLOCK_MS + 998);
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[1]));
    assert_eq!(
        ends(&effects),
        [EndOfRun::Crashed],
        "only the third run is over"
    );
    let mut stops = stopped(&effects);
    stops.sort();
    assert_eq!(stops, [run(1), run(2)]);
    assert_eq!(side.agent.runs().len(), 2);
}

/// Orders to the earlier incarnation that the next one accepted carry a hold by the old clock: nothing else starts
/// before the longest possible hold has expired.
#[test]
fn nothing_starts_under_a_hold_by_the_clock_of_the_earlier_incarnation() {
    let mut side = side();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[1]));
    answer(&mut side, 1_012, &effects, view(SECOND, 21, &[1]));
    assert_eq!(side.agent.condition(), TargetCondition::Absent);
}

/// A clock that went back shows that another incarnation accepted the order; its reading is not mistaken for that of
/// the known one.
#[test]
fn an_answer_by_a_restarted_clock_triggers_a_probe() {
    let mut side = side();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = started(&mut side, 1_002, 1, 25);
    assert!(probe_number(&effects).is_some());
    let effects = answer(&mut side, 1_003, &effects, view(SECOND, 26, &[1]));
    assert_eq!(ends(&effects), []);
    assert_eq!(stopped(&effects), [run(1)]);
}

/// A restarted side knows no token, while the fence is a token by the clock of an earlier incarnation; the side would
/// wait until the target's clock reaches it.
#[test]
fn a_fence_far_above_the_clock_is_passed_soon() {
    let mut side = Side::unknown();
    let mut effects = side.step(0, AgentEvent::Tick);
    let fence_token = OLD_CLOCK_MS;
    for ms in 1..40 {
        let token = probe_token(&effects).expect("a probe is under way");
        if token >= fence_token {
            return;
        }
        let clock_ms = 1_000 + ms;
        let number = probe_number(&effects).expect("a probe is under way");
        let result = Err(ProbeFailure::Fenced { clock_ms });
        effects = side.step(ms, AgentEvent::Probed { number, result });
    }
    panic!("the fence was never passed");
}

#[test]
fn many_refused_orders_raise_the_token_no_further_than_one() {
    let mut side = side();
    let orders = (1..4).map(|job| (job, start(job, 1_000)));
    for (_, order) in orders {
        side.order(1_001, ENTRY, order);
    }
    let mut tokens = Vec::new();
    for job in 1..4 {
        let clock_ms = OLD_CLOCK_MS + 998;
        let outcome = OrderOutcome::Refused(OrderRefusal::Fenced { clock_ms });
        let run = run(job);
        let effects = side.step(1_002, AgentEvent::OrderAnswered { run, outcome });
        tokens.extend(probe_token(&effects));
    }
    assert!(tokens.iter().all(|token| *token < 2 * OLD_CLOCK_MS));
}

/// A report of an earlier incarnation of the same name arrives late, with any number.
#[test]
fn a_report_of_an_earlier_incarnation_changes_nothing() {
    for number in [1, 300, 301, 9_999] {
        let mut side = side();
        let effects = side.step(1_010, reported(SECOND, 1));
        let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
        answer(&mut side, 1_012, &effects, view(SECOND, 21, &[]));
        side.order(1_013, ENTRY, start(1, 1_000));
        for started_at_ms in [0, 1, FIRST] {
            let effects = side.step(1_014, reported(started_at_ms, number));
            assert_eq!(ends(&effects), [], "{started_at_ms}, {number}");
        }
        let target = side.agent.target().expect("a target is known");
        assert_eq!(target.id.started_at_ms, SECOND);
        assert_eq!(side.agent.runs().len(), 1);
    }
}

/// Two restarts between two reports: the incarnation that answers is the known one in the end.
#[test]
fn after_two_restarts_within_a_heartbeat_the_last_incarnation_is_known() {
    let mut side = side();
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND + 40, 5, &[]));
    let effects = answer(&mut side, 1_012, &effects, view(SECOND + 40, 6, &[]));
    answer(&mut side, 1_013, &effects, view(SECOND + 40, 7, &[]));
    side.step(1_020, reported(SECOND + 40, 1));
    let target = side.agent.target().expect("a target is known");
    assert_eq!(target.id.started_at_ms, SECOND + 40);
    side.step(1_030, reported(SECOND, 2));
    let target = side.agent.target().expect("a target is known");
    assert_eq!(target.id.started_at_ms, SECOND + 40);
}

/// A message that an incarnation is leaving, delayed until the next incarnation runs, does not end the latter.
#[test]
fn a_late_leave_message_ends_no_other_incarnation() {
    let mut side = side();
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
    answer(&mut side, 1_012, &effects, view(SECOND, 21, &[]));
    for target in [
        TargetId::started_at("target", FIRST),
        TargetId::named("target"),
    ] {
        side.step(1_013, AgentEvent::TargetLeft { target });
        assert!(side.agent.target().is_some());
    }
    let target = TargetId::started_at("target", SECOND);
    side.step(1_014, AgentEvent::TargetLeft { target });
    assert!(side.agent.target().is_none());
}

/// A profile of an earlier incarnation from the store does not set the target once a later incarnation has answered.
#[test]
fn a_remembered_incarnation_that_has_ended_is_not_used() {
    let mut side = Side::unknown();
    let effects = side.step(0, AgentEvent::Tick);
    let effects = answer(&mut side, 1, &effects, view(SECOND, 20, &[]));
    answer(&mut side, 2, &effects, view(SECOND, 21, &[]));
    let mut remembered = profile();
    remembered.id = TargetId::started_at("target", FIRST);
    side.step(3, AgentEvent::TargetRemembered(remembered.clone()));
    assert!(side.agent.target().is_none());
    remembered.id = TargetId::started_at("target", SECOND);
    side.step(4, AgentEvent::TargetRemembered(remembered));
    assert!(side.agent.target().is_some());
}

/// A target that was draining when it ended is ready as soon as it has restarted.
#[test]
fn the_next_incarnation_of_a_target_that_left_accepts_work() {
    let mut side = side();
    let leaving = TargetReport {
        is_draining: true,
        ..match reported(FIRST, 301) {
            AgentEvent::TargetReported(report) => report,
            _ => unreachable!("it is a report"),
        }
    };
    side.step(1_001, AgentEvent::TargetReported(leaving));
    assert_eq!(side.agent.condition(), TargetCondition::Draining);
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
    answer(&mut side, 1_012, &effects, view(SECOND, 21, &[]));
    assert_eq!(side.agent.condition(), TargetCondition::Ready);
}

/// Nothing listened when a probe reached the target, and the next incarnation was running when the order after it
/// arrived.
#[test]
fn a_refused_probe_does_not_end_runs_that_were_ordered_after_it() {
    let mut side = side();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    started(&mut side, 1_002, 1, OLD_CLOCK_MS + 998);
    let effects = answer(
        &mut side,
        1_008,
        &effects,
        view(FIRST, OLD_CLOCK_MS + 1_005, &[1]),
    );
    let number = probe_number(&effects).expect("a probe is under way");
    side.order(1_010, ENTRY, start(2, 1_000));
    started(&mut side, 1_011, 2, OLD_CLOCK_MS + 1_008);
    let result = Err(ProbeFailure::Refused);
    let effects = side.step(1_012, AgentEvent::Probed { number, result });
    assert_eq!(ends(&effects), [EndOfRun::Crashed]);
    assert_eq!(stopped(&effects), [run(2)]);
    let runs_over_at = 1_012 + 1_031;
    side.step(runs_over_at, AgentEvent::Tick);
    assert!(
        side.agent.runs().is_empty(),
        "no incarnation was found again"
    );
}
