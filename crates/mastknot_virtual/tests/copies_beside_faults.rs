//! Copies of jobs whose callers have broken off unseen, while the sides that are asked about them fail or are out of reach.

use std::time::Duration;

use mastknot_core::job::JobId;
use mastknot_virtual::{Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

const ENTRIES: usize = 4;
const SIDES: usize = 5;
/// Seeds for each side that is struck.
const SEEDS: u64 = 22;
/// When the jobs are handed in, in milliseconds.
const HANDED_IN: u64 = 1_000;
/// When the connections of their callers break, in milliseconds.
const BROKEN_OFF: u64 = 1_060;
/// When their copies are handed in, in milliseconds.
const COPIES: u64 = BROKEN_OFF + 1_300;
/// What a task takes, in milliseconds: a little less than its caller waits.
const WORK: u64 = 1_850;
/// How long before the copies the fault strikes, in milliseconds.
const LEADS: [u64; 4] = [15, 150, 450, 900];

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn system(seed: u64) -> JobSystem {
    JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    })
}

/// Jobs at one entry whose callers break off unseen; the faults strike before their copies come.
fn play(seed: u64, faults: Vec<JobFault>) -> Option<String> {
    let mut system = system(seed);
    let at = millis(HANDED_IN);
    let jobs: Vec<JobId> = (0..6)
        .map(|_| system.submit(at, 0, 3, millis(WORK)))
        .collect();
    let broken_off = JobFaultPlan {
        at: millis(BROKEN_OFF),
        fault: JobFault::BreakCallers { entry: 0 },
    };
    system.plan(broken_off);
    let lead = LEADS[seed as usize % LEADS.len()];
    for fault in faults {
        let at = millis(COPIES - lead);
        system.plan(JobFaultPlan { at, fault });
    }
    system.run_until(millis(17_000));
    let violations = system.violations();
    let left_over = system.held_jobs_and_runs();
    let served = system.audit().completed(&jobs);
    let is_right = violations.is_empty() && left_over == (0, 0) && served == jobs.len();
    let found = format!(
        "{} broken promises, left over {left_over:?}, {served} of {} served, first {:?}",
        violations.len(),
        jobs.len(),
        violations.first()
    );
    (!is_right).then_some(found)
}

/// Strikes each side in turn.
fn assert_copies_run_alone(faults_at: impl Fn(usize) -> Vec<JobFault>) {
    let mut failed = Vec::new();
    for side in 0..SIDES {
        for seed in 0..SEEDS {
            let found = play(seed, faults_at(side));
            failed.extend(found.map(|found| format!("side {side}, seed {seed}: {found}")));
        }
    }
    let plays = SIDES as u64 * SEEDS;
    let first = &failed[..failed.len().min(10)];
    let count = failed.len();
    assert!(
        first.is_empty(),
        "{count} of {plays} plays failed:\n{}",
        first.join("\n")
    );
}

fn cut(entry: usize, side: usize, time: u64) -> JobFault {
    JobFault::PartitionLink {
        entry,
        side,
        direction: Direction::Both,
        time: millis(time),
    }
}

fn assert_alone_when_killed(down: u64) {
    let down = millis(down);
    assert_copies_run_alone(|side| vec![JobFault::KillSide { side, down }]);
}

fn assert_alone_when_frozen(time: u64) {
    let time = millis(time);
    assert_copies_run_alone(|side| vec![JobFault::PauseSide { side, time }]);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_killed_for_120_ms() {
    assert_alone_when_killed(120);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_killed_for_400_ms() {
    assert_alone_when_killed(400);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_killed_for_1500_ms() {
    assert_alone_when_killed(1_500);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_frozen_for_120_ms() {
    assert_alone_when_frozen(120);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_frozen_for_400_ms() {
    assert_alone_when_frozen(400);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_frozen_for_1500_ms() {
    assert_alone_when_frozen(1_500);
}

#[test]
fn a_copy_runs_alone_when_its_older_self_is_cut_off_from_a_side() {
    assert_copies_run_alone(|side| vec![cut(0, side, 1_500)]);
}

#[test]
fn a_copy_runs_alone_when_all_other_entries_are_cut_off_from_a_side() {
    assert_copies_run_alone(|side| (1..ENTRIES).map(|entry| cut(entry, side, 1_500)).collect());
}

/// All sides start again, one after the other: none of them remembers a claim.
fn all_killed(first: usize, apart: u64) -> Vec<JobFault> {
    let down = |side: usize| millis(250 + apart * ((side + first) % SIDES) as u64);
    let sides = 0..SIDES;
    sides
        .map(|side| JobFault::KillSide {
            side,
            down: down(side),
        })
        .collect()
}

#[test]
fn a_copy_runs_alone_when_all_sides_start_again_at_once() {
    assert_copies_run_alone(|first| all_killed(first, 0));
}

#[test]
fn a_copy_runs_alone_when_all_sides_start_again_one_after_the_other() {
    assert_copies_run_alone(|first| all_killed(first, 20));
}
