//! How long a side waits for its target's answers.

mod common;

use std::time::Duration;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, OrderOutcome};

/// Orders one run after the other, each answered after `took_ms`; returns the last order's limit.
fn limit_after(side: &mut Side, first_job: u64, took_ms: u64) -> Duration {
    let mut now = 1_001;
    let mut limit = Duration::ZERO;
    for job in first_job..first_job + 20 {
        let effects = side.order(now, ENTRY, start(job, 100));
        let ordered = effects.iter().find_map(|effect| match effect {
            AgentEffect::Order { timeout: limit, .. } => Some(*limit),
            _ => None,
        });
        limit = ordered.expect("an order");
        now += took_ms;
        let clock_ms = now + 999;
        let outcome = OrderOutcome::Started { clock_ms };
        let run = run(job);
        side.step(now, AgentEvent::OrderAnswered { run, outcome });
    }
    limit
}

#[test]
fn a_target_that_answers_at_once_is_not_waited_for_long() {
    let mut side = Side::ready();
    assert_eq!(limit_after(&mut side, 1, 1), Duration::from_millis(20));
}

#[test]
fn a_slow_target_gets_the_time_that_it_needs() {
    let mut side = Side::ready();
    let limit = limit_after(&mut side, 1, 12);
    assert!(limit >= Duration::from_millis(20), "{limit:?}");
    let mut side = Side::ready();
    let first = side.order(1_001, ENTRY, start(1, 100));
    let is_patient = first.iter().any(|effect| {
        matches!(effect, AgentEffect::Order { timeout: limit, .. } if *limit == Duration::from_millis(50))
    });
    assert!(is_patient, "nothing is known of its answers yet");
}
