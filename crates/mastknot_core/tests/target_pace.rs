//! Time until a side detects that its target is slow, and the work that the target then gets.

mod common;

use common::entry::{Entry, at, ended, job, starts};
use common::side::{ENTRY, Side, probe_number, run, start};
use mastknot_core::agent::{AgentEffect, AgentEvent, OrderOutcome, TargetRunning, TargetView};
use mastknot_core::job::{EndOfRun, KnownEntry, SideReport};
use mastknot_core::scheduler::SchedulerEvent;

/// Returns the slowdown in the last report to an entry, in percent.
fn reported_slowdown(effects: &[AgentEffect]) -> Option<u32> {
    let mut slowdowns = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Status(status),
            ..
        } => Some(status.slowdown_percent),
        _ => None,
    });
    slowdowns.next_back()
}

/// Starts a task of 100 ms, lists it as `percent` done after 60 ms, and returns the slowdown that is then reported.
fn slowdown_after_60_ms(percent: u8) -> u32 {
    let mut side = Side::ready();
    let started = side.order(1_001, ENTRY, start(1, 1_000));
    let outcome = OrderOutcome::Started { clock_ms: 2_001 };
    side.step(
        1_002,
        AgentEvent::OrderAnswered {
            run: run(1),
            outcome,
        },
    );
    let view = TargetView {
        clock_ms: 2_061,
        started_at_ms: 0,
        running: vec![TargetRunning {
            run: run(1),
            percent,
        }],
        finished: Vec::new(),
    };
    let number = probe_number(&started).expect("a probe is under way");
    let result = Ok(view);
    let mut effects = side.step(1_061, AgentEvent::Probed { number, result });
    effects.extend(side.step(1_150, AgentEvent::Tick));
    reported_slowdown(&effects).expect("a report is due")
}

#[test]
fn a_slow_target_is_detected_by_the_progress_of_its_runs_before_any_ends() {
    assert!(slowdown_after_60_ms(12) > 450);
    let healthy = slowdown_after_60_ms(60);
    assert!((90..=110).contains(&healthy), "{healthy}");
}

fn known_entry(number: u16) -> KnownEntry {
    KnownEntry {
        name: format!("entry-{number}").as_str().into(),
        address: ([127, 0, 0, 1], number).into(),
    }
}

/// Slowdown of each of three targets, in percent.
const SLOWDOWNS: [u32; 3] = [100, 110, 460];

/// Submits a job and returns the number of its runs on the slow target; all of its runs end at once.
fn tries_at_slow_target(entry: &mut Entry, ms: u64) -> usize {
    for (side, slowdown) in SLOWDOWNS.into_iter().enumerate() {
        entry.status_with_slowdown(ms, side as u64, slowdown, Vec::new());
    }
    let effects = entry.submit(ms, ms, job(ms, 12, 100), 9_000);
    let starts = starts(&effects);
    for (side, run) in &starts {
        let slowdown = SLOWDOWNS[*side as usize];
        let ends = vec![ended(*run, EndOfRun::Done)];
        entry.status_with_slowdown(ms + 50, *side, slowdown, ends);
    }
    starts.iter().filter(|(side, _)| *side == 2).count()
}

#[test]
fn a_slow_target_is_tried_with_one_task_once_a_second_by_all_entries_together() {
    let mut entry = Entry::with_sides(&[16_000, 16_000, 16_000]);
    let entries = vec![known_entry(1), known_entry(2)];
    entry
        .scheduler
        .step(at(5), SchedulerEvent::Entries(entries));
    let mut tried = Vec::new();
    for ms in (100..4_300).step_by(100) {
        let tries = tries_at_slow_target(&mut entry, ms);
        assert!(tries <= 1, "{tries} at {ms} ms");
        tried.extend((tries == 1).then_some(ms));
    }
    // Two entries share the attempts, so each makes one every two seconds.
    assert_eq!(tried, [2_000, 4_000]);
}
