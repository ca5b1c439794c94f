//! Guards against concurrent runs of duplicate submissions whose first callers disconnected unnoticed, while the sides
//! that are asked about the jobs fail or are unreachable.

use std::time::Duration;

use mastknot_core::job::JobId;
use mastknot_virtual::{Direction, JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

const ENTRIES: usize = 4;
const SIDES: usize = 5;
/// Number of seeds for each side that has the fault.
const SEEDS: u64 = 22;
/// Time of the submission of the jobs, in milliseconds.
const SUBMITTED_AT: u64 = 1_000;
/// Time at which the connections of the callers break, in milliseconds.
const DISCONNECTED_AT: u64 = 1_060;
/// Time at which the callers submit the jobs again, in milliseconds.
const DUPLICATES_AT: u64 = DISCONNECTED_AT + 1_300;
/// Work of a task, in milliseconds: a little less than its caller waits.
const WORK: u64 = 1_850;
/// Times between a fault and the duplicate submissions, in milliseconds.
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

/// Plays jobs at one entry whose callers disconnect unnoticed, with faults shortly before the duplicates arrive.
/// Returns a description of what went wrong, if anything did.
fn play(seed: u64, faults: Vec<JobFault>) -> Option<String> {
    let mut system = system(seed);
    let at = millis(SUBMITTED_AT);
    let jobs: Vec<JobId> = (0..6)
        .map(|_| system.submit(at, 0, 3, millis(WORK)))
        .collect();
    let disconnected = JobFaultPlan {
        at: millis(DISCONNECTED_AT),
        fault: JobFault::BreakCallers { entry: 0 },
    };
    system.plan(disconnected);
    let lead = LEADS[seed as usize % LEADS.len()];
    for fault in faults {
        let at = millis(DUPLICATES_AT - lead);
        system.plan(JobFaultPlan { at, fault });
    }
    system.run_until(millis(17_000));
    let violations = system.violations();
    let left_over = system.held_jobs_and_runs();
    let served = system.audit().completed(&jobs);
    let is_correct = violations.is_empty() && left_over == (0, 0) && served == jobs.len();
    let found = format!(
        "{} violations, left over {left_over:?}, {served} of {} served, first {:?}",
        violations.len(),
        jobs.len(),
        violations.first()
    );
    (!is_correct).then_some(found)
}

/// Plays the faults for each side in turn and panics if a scenario fails.
fn assert_duplicates_run_alone(faults_at: impl Fn(usize) -> Vec<JobFault>) {
    let mut failed = Vec::new();
    for side in 0..SIDES {
        for seed in 0..SEEDS {
            let found = play(seed, faults_at(side));
            failed.extend(found.map(|found| format!("side {side}, seed {seed}: {found}")));
        }
    }
    let scenarios = SIDES as u64 * SEEDS;
    let first = &failed[..failed.len().min(10)];
    let count = failed.len();
    assert!(
        first.is_empty(),
        "{count} of {scenarios} scenarios failed:\n{}",
        first.join("\n")
    );
}

fn partition(entry: usize, side: usize, time: u64) -> JobFault {
    JobFault::PartitionLink {
        entry,
        side,
        direction: Direction::Both,
        time: millis(time),
    }
}

fn assert_alone_when_killed(downtime_ms: u64) {
    let downtime = millis(downtime_ms);
    assert_duplicates_run_alone(|side| vec![JobFault::KillSide { side, downtime }]);
}

fn assert_alone_when_paused(time: u64) {
    let time = millis(time);
    assert_duplicates_run_alone(|side| vec![JobFault::PauseSide { side, time }]);
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
    assert_alone_when_paused(120);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_frozen_for_400_ms() {
    assert_alone_when_paused(400);
}

#[test]
fn a_copy_runs_alone_when_a_side_is_frozen_for_1500_ms() {
    assert_alone_when_paused(1_500);
}

#[test]
fn a_copy_runs_alone_when_its_older_self_is_cut_off_from_a_side() {
    assert_duplicates_run_alone(|side| vec![partition(0, side, 1_500)]);
}

#[test]
fn a_copy_runs_alone_when_all_other_entries_are_cut_off_from_a_side() {
    assert_duplicates_run_alone(|side| {
        (1..ENTRIES)
            .map(|entry| partition(entry, side, 1_500))
            .collect()
    });
}

/// Returns faults that restart all sides, `apart` milliseconds after each other, so that none of them remembers a
/// claim.
fn all_killed(first: usize, apart: u64) -> Vec<JobFault> {
    let downtime = |side: usize| millis(250 + apart * ((side + first) % SIDES) as u64);
    let sides = 0..SIDES;
    sides
        .map(|side| JobFault::KillSide {
            side,
            downtime: downtime(side),
        })
        .collect()
}

#[test]
fn a_copy_runs_alone_when_all_sides_start_again_at_once() {
    assert_duplicates_run_alone(|first| all_killed(first, 0));
}

#[test]
fn a_copy_runs_alone_when_all_sides_start_again_one_after_the_other() {
    assert_duplicates_run_alone(|first| all_killed(first, 20));
}
