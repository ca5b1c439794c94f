//! Timeout that a side sets for its target's answers to orders.

mod common;

use std::time::Duration;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, OrderOutcome};

/// Orders 20 runs in sequence, each answered after `took_ms`, and returns the timeout of the last order.
fn timeout_after(side: &mut Side, first_job: u64, took_ms: u64) -> Duration {
    let mut now = 1_001;
    let mut timeout = Duration::ZERO;
    for job in first_job..first_job + 20 {
        let effects = side.order(now, ENTRY, start(job, 100));
        let ordered = effects.iter().find_map(|effect| match effect {
            AgentEffect::Order { timeout, .. } => Some(*timeout),
            _ => None,
        });
        timeout = ordered.expect("an order");
        now += took_ms;
        let clock_ms = now + 999;
        let outcome = OrderOutcome::Started { clock_ms };
        let run = run(job);
        side.step(now, AgentEvent::OrderAnswered { run, outcome });
    }
    timeout
}

#[test]
fn a_target_that_answers_at_once_gets_a_short_timeout() {
    let mut side = Side::ready();
    assert_eq!(timeout_after(&mut side, 1, 1), Duration::from_millis(20));
}

#[test]
fn a_slow_target_gets_a_longer_timeout() {
    let mut side = Side::ready();
    let timeout = timeout_after(&mut side, 1, 12);
    assert!(timeout >= Duration::from_millis(20), "{timeout:?}");
    let mut side = Side::ready();
    let first = side.order(1_001, ENTRY, start(1, 100));
    let has_default_timeout = first.iter().any(|effect| {
        matches!(effect, AgentEffect::Order { timeout, .. } if *timeout == Duration::from_millis(50))
    });
    assert!(
        has_default_timeout,
        "no answer of the target has been measured yet"
    );
}
