//! An entry whose lease has ended links again before its runs are known to be over.

mod common;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, TargetRunning, TargetView};

/// Returns the time on the target's clock until which a probe asks the target to keep its runs, in milliseconds.
fn hold_until(effects: &[AgentEffect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        AgentEffect::Probe { hold_until_ms, .. } => *hold_until_ms,
        _ => None,
    })
}

fn answer_listing(side: &mut Side, ms: u64, effects: &[AgentEffect]) -> Vec<AgentEffect> {
    let number = probe_number(effects).expect("a probe is under way");
    let running = vec![TargetRunning {
        run: run(1),
        percent: (ms % 50) as u8,
    }];
    let result = Ok(TargetView {
        clock_ms: 1_000 + ms,
        running,
        ..TargetView::default()
    });
    side.step(ms, AgentEvent::Probed { number, result })
}

/// A run that did not stop when its lease ended used to be held under the lease of the same entry's next link.
#[test]
fn a_run_whose_lease_has_ended_is_not_held_by_the_next_link_of_its_entry() {
    let mut side = Side::ready();
    let effects = side.order(1_001, ENTRY, start(1, 1_000));
    let effects = answer_listing(&mut side, 1_340, &effects);
    let ended = side.step(1_351, AgentEvent::Tick);
    assert_eq!(stopped(&ended), [run(1)]);
    side.join(1_380, OTHER, "entry-1", 1);
    let effects = answer_listing(&mut side, 1_400, &effects);
    let latest = 1_000 + 1_000 + 500;
    let requested = hold_until(&effects).expect("a probe that requests a hold");
    assert!(
        requested <= latest,
        "held until {requested}, allowed {latest}"
    );
}
