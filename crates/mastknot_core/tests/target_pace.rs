//! How soon a slow target is known, and what it is given then.

mod common;

use common::entry::{Entry, at, ended, job, starts};
use common::side::{ENTRY, Side, probe_number, run, start};
use mastknot_core::agent::{AgentEffect, AgentEvent, OrderOutcome, TargetRunning, TargetView};
use mastknot_core::job::{EndOfRun, KnownEntry, SideReport};
use mastknot_core::scheduler::SchedulerEvent;

/// The pace in the last report to an entry.
fn told_pace(effects: &[AgentEffect]) -> Option<u32> {
    let mut paces = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Status(status),
            ..
        } => Some(status.slowdown_percent),
        _ => None,
    });
    paces.next_back()
}

/// Starts a task of 100 ms, lists it with `percent` done after 60 ms, and returns the pace told then.
fn pace_after_60_ms(percent: u8) -> u32 {
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
    told_pace(&effects).expect("a report is due")
}

#[test]
fn a_slow_target_is_known_by_the_progress_of_its_runs_before_any_ends() {
    assert!(pace_after_60_ms(12) > 450);
    let sound = pace_after_60_ms(60);
    assert!((90..=110).contains(&sound), "{sound}");
}

fn known_entry(number: u16) -> KnownEntry {
    KnownEntry {
        name: format!("entry-{number}").as_str().into(),
        address: ([127, 0, 0, 1], number).into(),
    }
}

/// The pace of each of three targets, in percent.
const PACES: [u32; 3] = [100, 110, 460];

/// The runs that a new job gets at the slow target; all of its runs end at once.
fn tries_at_slow_target(entry: &mut Entry, ms: u64) -> usize {
    for (side, pace) in PACES.into_iter().enumerate() {
        entry.status_with_slowdown(ms, side as u64, pace, Vec::new());
    }
    let effects = entry.submit(ms, ms, job(ms, 12, 100), 9_000);
    let starts = starts(&effects);
    for (side, run) in &starts {
        let pace = PACES[*side as usize];
        let ends = vec![ended(*run, EndOfRun::Done)];
        entry.status_with_slowdown(ms + 50, *side, pace, ends);
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
    // One of two entries, so each two seconds.
    assert_eq!(tried, [2_000, 4_000]);
}
