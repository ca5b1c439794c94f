//! Targets that start again under their old names.

mod common;

use common::side::*;
use mastknot_core::agent::{
    AgentEffect, AgentEvent, FinishReason, OrderOutcome, OrderRefusal, ProbeFailure,
    TargetFinished, TargetReport, TargetRunning, TargetView,
};
use mastknot_core::job::{EndOfRun, TargetCondition, TargetId};

const FIRST: u64 = 5_000;
const SECOND: u64 = 9_000;
/// The clock of the first life when this process starts.
const OLD_CLOCK_MS: u64 = 500_000;

fn reported(born_ms: u64, number: u64) -> AgentEvent {
    let mut report = report("target", number);
    report.profile.id = TargetId::started_at("target", born_ms);
    AgentEvent::TargetReported(report)
}

fn view(born_ms: u64, clock_ms: u64, running: &[u64]) -> TargetView {
    let running = running.iter().map(|job| TargetRunning {
        run: run(*job),
        percent: 10,
    });
    TargetView {
        clock_ms,
        started_at_ms: born_ms,
        running: running.collect(),
        finished: Vec::new(),
    }
}

/// Answers the look under way.
fn answer(side: &mut Side, ms: u64, effects: &[AgentEffect], view: TargetView) -> Vec<AgentEffect> {
    let number = probe_number(effects).expect("a probe is under way");
    let result = Ok(view);
    side.step(ms, AgentEvent::Probed { number, result })
}

/// A side that knows the first life, whose clock is far ahead of what a new one shows, linked to one entry at 1,000 ms.
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

fn look_token(effects: &[AgentEffect]) -> Option<u64> {
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

/// The numbers of a life's reports start anew: taken for late ones they left the target unknown for as long as the life
/// before had lasted.
#[test]
fn the_next_life_counts_though_its_numbers_are_lower() {
    let mut side = side();
    side.order(1_001, ENTRY, start(1, 1_000));
    started(&mut side, 1_002, 1, OLD_CLOCK_MS + 998);
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
    assert_eq!(ends(&effects), [EndOfRun::Crashed]);
    let target = side.agent.target().expect("a target is known");
    assert_eq!(target.id, TargetId::started_at("target", SECOND));
}

/// The first report did not say when its life began, and the looks do. Taken for one of another life, each later report
/// counted as late, and the side never heard that the target had less room or was leaving.
#[test]
fn a_life_whose_first_report_left_out_its_birth_is_the_known_one() {
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
        "another life is asked for"
    );
    assert_eq!(side.agent.target(), Some(&shrunk.profile));
}

/// No report has come, and the look itself shows it.
#[test]
fn a_look_tells_that_another_life_answers() {
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

/// The ends of the next life are numbered from 1: none of them counts as noted.
#[test]
fn the_first_ends_of_the_next_life_are_not_forgotten() {
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

/// An order of the life before may still arrive: the first look at the next life fences it.
#[test]
fn the_next_life_is_looked_at_with_a_higher_token() {
    let mut side = side();
    let effects = side.step(1_010, reported(SECOND, 1));
    let before = look_token(&effects).expect("a probe is under way");
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
    let first = look_token(&effects).expect("a probe is under way");
    assert!(first > before, "{first}, before {before}");
    let effects = answer(&mut side, 1_012, &effects, view(SECOND, 21, &[]));
    assert!(ordered(&effects).is_empty());
    assert_eq!(side.agent.condition(), TargetCondition::Ready);
}

/// What the next life took before the first look is stopped, whether it is listed or its order has no answer yet.
#[test]
fn runs_that_the_next_life_may_have_are_not_called_over() {
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
        "the third alone is over"
    );
    let mut stops = stopped(&effects);
    stops.sort();
    assert_eq!(stops, [run(1), run(2)]);
    assert_eq!(side.agent.runs().len(), 2);
}

/// Such orders carried a hold by the old clock: nothing more is started before the longest hold is over.
#[test]
fn nothing_starts_under_a_hold_by_the_clock_of_the_life_before() {
    let mut side = side();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = side.step(1_010, reported(SECOND, 1));
    let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[1]));
    answer(&mut side, 1_012, &effects, view(SECOND, 21, &[1]));
    assert_eq!(side.agent.condition(), TargetCondition::Absent);
}

/// A clock that has fallen shows that another life took the order; its reading is not mistaken for the known life's.
#[test]
fn an_answer_by_a_clock_that_starts_anew_asks_for_a_look() {
    let mut side = side();
    side.order(1_001, ENTRY, start(1, 1_000));
    let effects = started(&mut side, 1_002, 1, 25);
    assert!(probe_number(&effects).is_some());
    let effects = answer(&mut side, 1_003, &effects, view(SECOND, 26, &[1]));
    assert_eq!(ends(&effects), []);
    assert_eq!(stopped(&effects), [run(1)]);
}

/// A side that restarts knows of no token, while the fence is one by the clock of an earlier life: it would wait for the
/// clock to get there.
#[test]
fn a_fence_far_above_the_clock_is_passed_soon() {
    let mut side = Side::unknown();
    let mut effects = side.step(0, AgentEvent::Tick);
    let fence = OLD_CLOCK_MS;
    for ms in 1..40 {
        let token = look_token(&effects).expect("a probe is under way");
        if token >= fence {
            return;
        }
        let clock_ms = 1_000 + ms;
        let number = probe_number(&effects).expect("a probe is under way");
        let result = Err(ProbeFailure::Fenced { clock_ms });
        effects = side.step(ms, AgentEvent::Probed { number, result });
    }
    panic!("the fence still stands");
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
        tokens.extend(look_token(&effects));
    }
    assert!(tokens.iter().all(|token| *token < 2 * OLD_CLOCK_MS));
}

/// A report of an earlier life of the same name comes late, whatever its number.
#[test]
fn a_report_of_an_earlier_life_changes_nothing() {
    for number in [1, 300, 301, 9_999] {
        let mut side = side();
        let effects = side.step(1_010, reported(SECOND, 1));
        let effects = answer(&mut side, 1_011, &effects, view(SECOND, 20, &[]));
        answer(&mut side, 1_012, &effects, view(SECOND, 21, &[]));
        side.order(1_013, ENTRY, start(1, 1_000));
        for born_ms in [0, 1, FIRST] {
            let effects = side.step(1_014, reported(born_ms, number));
            assert_eq!(ends(&effects), [], "{born_ms}, {number}");
        }
        let target = side.agent.target().expect("a target is known");
        assert_eq!(target.id.started_at_ms, SECOND);
        assert_eq!(side.agent.runs().len(), 1);
    }
}

/// Two lives between two reports: the one that answers is there in the end.
#[test]
fn two_lives_within_a_heartbeat_end_with_the_last() {
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

/// A word of leaving that is held up until the next life is there does not end that.
#[test]
fn a_late_word_of_leaving_ends_no_other_life() {
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

/// What the store remembers of an earlier life names no target once a later one has answered.
#[test]
fn a_remembered_life_that_is_over_is_not_taken() {
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

/// A draining life that ends and starts again is ready at once.
#[test]
fn the_next_life_of_a_target_that_left_takes_work() {
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

/// Nothing listened when a look came to the target, and its next life was there for the order after that.
#[test]
fn a_refused_look_does_not_end_what_was_ordered_after_it() {
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
    let over = 1_012 + 1_031;
    side.step(over, AgentEvent::Tick);
    assert!(side.agent.runs().is_empty(), "no life came back");
}
