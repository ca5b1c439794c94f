//! Random interleavings of work and faults violate no guarantee.
//!
//! CI runs a fixed set of histories. A long run takes their number from the environment:
//! `MASTKNOT_HISTORIES=10000 cargo test --release -p mastknot_virtual --test random_histories`

mod common;

use std::time::Duration;

use common::{assert_kept, job, request, system};
use mastknot_core::message::Submission;
use mastknot_virtual::{FaultRule, MessageFault, MessageKind, VirtualSystem};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of histories that CI runs.
const CI_HISTORIES: u32 = 200;
const ENTRIES: usize = 3;
const SIDES: usize = 4;
const HALLS: [&str; 3] = ["h1", "h2", "h3"];
/// Kinds of messages that faults hit.
const KINDS: [MessageKind; 10] = [
    MessageKind::Start,
    MessageKind::Answer,
    MessageKind::Grant,
    MessageKind::Forward,
    MessageKind::Replied,
    MessageKind::AskKey,
    MessageKind::Roster,
    MessageKind::Confirm,
    MessageKind::Lend,
    MessageKind::Config,
];

/// Step of a history: an operation of a caller or an operator, a fault, or the passing of time.
#[derive(Clone, Debug)]
enum Op {
    Submit {
        entry: usize,
        tasks: usize,
        millis: u64,
    },
    Pay {
        entry: usize,
    },
    Resubmit {
        which: usize,
        entry: usize,
    },
    KillEntry(usize),
    StartEntry(usize),
    StopEntry(usize),
    PauseEntry(usize, u64),
    SkewEntry(usize, i64),
    KillSide(usize),
    StartSide(usize),
    PauseSide(usize, u64),
    DrainSide(usize),
    StoreDown(bool),
    StoreLosesAnswers(u32),
    StaleReads(u64),
    Cut(usize, usize),
    Heal(usize, usize),
    Message(usize, MessageFault),
    Refuse(usize, bool),
    LoseAnswers(usize),
    Configure(u32),
    Wait(u64),
}

fn message_fault() -> impl Strategy<Value = MessageFault> {
    prop_oneof![
        Just(MessageFault::Lost),
        (1..3_000_u64).prop_map(|ms| MessageFault::Delayed(Duration::from_millis(ms))),
        (1..3_000_u64).prop_map(|ms| MessageFault::Duplicated(Duration::from_millis(ms))),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..ENTRIES;
    let side = 0..SIDES;
    let hall = 0..HALLS.len();
    prop_oneof![
        6 => (entry.clone(), 1..8_usize, 10..400_u64)
            .prop_map(|(entry, tasks, millis)| Op::Submit { entry, tasks, millis }),
        4 => entry.clone().prop_map(|entry| Op::Pay { entry }),
        6 => (0..20_usize, entry.clone()).prop_map(|(which, entry)| Op::Resubmit { which, entry }),
        1 => entry.clone().prop_map(Op::KillEntry),
        2 => entry.clone().prop_map(Op::StartEntry),
        1 => entry.clone().prop_map(Op::StopEntry),
        1 => (entry.clone(), 100..8_000_u64).prop_map(|(entry, ms)| Op::PauseEntry(entry, ms)),
        1 => (entry, -240..240_i64).prop_map(|(entry, ms)| Op::SkewEntry(entry, ms)),
        1 => side.clone().prop_map(Op::KillSide),
        2 => side.clone().prop_map(Op::StartSide),
        1 => (side.clone(), 100..8_000_u64).prop_map(|(side, ms)| Op::PauseSide(side, ms)),
        1 => side.clone().prop_map(Op::DrainSide),
        2 => any::<bool>().prop_map(Op::StoreDown),
        1 => (1..3_u32).prop_map(Op::StoreLosesAnswers),
        1 => (0..3_u64).prop_map(Op::StaleReads),
        1 => (hall.clone(), hall.clone()).prop_map(|(a, b)| Op::Cut(a, b)),
        2 => (hall.clone(), hall).prop_map(|(a, b)| Op::Heal(a, b)),
        3 => (0..KINDS.len(), message_fault()).prop_map(|(kind, fault)| Op::Message(kind, fault)),
        1 => (side.clone(), any::<bool>()).prop_map(|(side, is)| Op::Refuse(side, is)),
        1 => side.prop_map(Op::LoseAnswers),
        1 => (1..100_u32).prop_map(Op::Configure),
        12 => (10..1_500_u64).prop_map(Op::Wait),
    ]
}

fn apply(system: &mut VirtualSystem, sent: &mut Vec<Submission>, op: &Op) {
    let millis = Duration::from_millis;
    match op {
        Op::Submit {
            entry,
            tasks,
            millis,
        } => {
            let submission = job(system.new_key(), *tasks, *millis);
            sent.push(submission.clone());
            system.submit(*entry, submission);
        }
        Op::Pay { entry } => {
            let submission = request(system.new_key(), "pay", 50);
            sent.push(submission.clone());
            system.submit(*entry, submission);
        }
        Op::Resubmit { which, entry } => {
            if let Some(submission) = sent.iter().rev().nth(*which) {
                let submission = submission.clone();
                system.submit(*entry, submission);
            }
        }
        Op::KillEntry(entry) if system.entry(*entry).is_some() => system.kill_entry(*entry),
        Op::StartEntry(entry) if system.entry(*entry).is_none() => system.start_entry(*entry),
        Op::StopEntry(entry) => system.stop_entry(*entry),
        Op::PauseEntry(entry, ms) => system.pause_entry(*entry, millis(*ms)),
        Op::SkewEntry(entry, ms) => system.set_clock_skew(*entry, *ms),
        Op::KillSide(side) if system.side(*side).is_some() => system.kill_side(*side),
        Op::StartSide(side) if system.side(*side).is_none() => system.start_side(*side),
        Op::PauseSide(side, ms) => system.pause_side(*side, millis(*ms)),
        Op::DrainSide(side) => system.drain_side(*side),
        Op::StoreDown(is_down) => system.store.faults.is_down = *is_down,
        Op::StoreLosesAnswers(count) => system.store.faults.lose_answers = *count,
        Op::StaleReads(writes) => system.store.faults.stale_writes = *writes,
        Op::Cut(a, b) if a != b => system.partition(HALLS[*a], HALLS[*b]),
        Op::Heal(a, b) if a != b => system.heal(HALLS[*a], HALLS[*b]),
        Op::Message(kind, fault) => system.add_rule(FaultRule {
            kind: KINDS[*kind],
            fault: *fault,
            count: 1,
        }),
        Op::Refuse(side, is_refusing) => system.set_refusing(*side, *is_refusing),
        Op::LoseAnswers(side) => system.lose_target_answers(*side, 1),
        Op::Configure(quota) => {
            system.write_resource("team", "team", &format!(r#"{{"quota":{quota}}}"#));
        }
        Op::Wait(ms) => system.run_for(millis(*ms)),
        _ => {}
    }
}

fn histories() -> u32 {
    let text = std::env::var("MASTKNOT_HISTORIES").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(CI_HISTORIES)
}

#[test]
fn every_promise_is_kept_in_random_histories() {
    let config = Config {
        cases: histories(),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&vec(op(), 10..60), |ops| {
        let mut system = system(ENTRIES, SIDES, 2, 11);
        let mut sent = Vec::new();
        for op in &ops {
            apply(&mut system, &mut sent, op);
        }
        system.run_for(Duration::from_secs(12));
        assert_kept(&system);
        Ok(())
    });
    if let Err(problem) = outcome {
        panic!("{problem}");
    }
}
