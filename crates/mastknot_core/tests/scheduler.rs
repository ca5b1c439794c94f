//! State machine of an entry: order of jobs, refusals, attempts, and duplicate submissions of a job.

mod common;

use std::time::Duration;

use common::entry::*;
use mastknot_core::job::{EndOfRun, EntryOrder, FailureCause, JobAnswer, JobId};
use mastknot_core::scheduler::{CallerId, SchedulerEffect, SchedulerEvent, SessionId};

/// Answer to a job one task of which has failed as often as its queue allows.
const TASK_FAILED: JobAnswer = JobAnswer::Failed {
    cause: FailureCause::TaskFailed,
};

#[test]
fn a_wide_step_spreads_over_all_sides() {
    let mut entry = Entry::with_sides(&[16_000, 16_000]);
    let effects = entry.submit(1, 1, job(1, 8, 60), 2_000);
    let on_first = starts(&effects)
        .iter()
        .filter(|(side, _)| *side == 0)
        .count();
    assert_eq!((starts(&effects).len(), on_first), (8, 4));
}

#[test]
fn a_job_that_can_be_in_time_goes_before_one_that_cannot() {
    let mut entry = Entry::with_sides(&[1_600]);
    entry.submit(10, 1, job(1, 2, 100), 9_000);
    entry.status(200, 0, 0, 1, None, Vec::new());
    entry.submit(400, 2, job(2, 1, 100), 9_000);
    // The first job has started, but its latency objective (160 + 60 ms) has passed; that of the second job has not.
    let effects = entry.status(401, 0, 1_600, 1, None, Vec::new());
    let first: Vec<JobId> = starts(&effects)
        .iter()
        .map(|(_, run)| run.task.job)
        .collect();
    assert_eq!(first, [JobId(2)]);
}

#[test]
fn a_job_that_has_not_started_is_refused_with_a_retry_time() {
    let mut entry = Entry::with_sides(&[0]);
    entry.submit(10, 1, job(1, 1, 100), 9_000);
    // A quarter of the job's latency objective (160 + 60 ms) has not passed yet.
    assert_eq!(answers(&entry.status(60, 0, 0, 0, None, Vec::new())), []);
    let effects = entry.status(70, 0, 0, 0, None, Vec::new());
    let [(1, JobAnswer::Refused { retry_after })] = answers(&effects)[..] else {
        panic!("not refused: {effects:?}");
    };
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn a_job_that_may_have_started_is_never_refused() {
    let mut entry = Entry::with_sides(&[1_600]);
    let begun = entry.submit(10, 1, job(1, 2, 100), 2_000);
    assert_eq!(starts(&begun).len(), 1, "one of two tasks finds capacity");
    let mut given = Vec::new();
    for ms in (60..2_100).step_by(50) {
        given.extend(answers(&entry.status(ms, 0, 0, 1, None, Vec::new())));
    }
    assert_eq!(given, [(1, JobAnswer::TimedOut)]);
}

#[test]
fn a_task_fails_its_job_after_its_attempts_but_not_for_a_suspect_target() {
    let mut entry = Entry::with_sides(&[16_000, 16_000]);
    let effects = entry.submit(10, 1, job(1, 1, 100), 9_000);
    let (side, run) = starts(&effects)[0];
    let suspect = EndOfRun::Failed {
        is_target_suspect: true,
    };
    let effects = entry.status(20, side, 16_000, 1, None, vec![ended(run, suspect)]);
    let (other, run) = starts(&effects)[0];
    assert_ne!(side, other, "another side is tried");
    let effects = entry.status(30, other, 16_000, 1, None, vec![ended(run, failed())]);
    let (third, run) = starts(&effects)[0];
    let effects = entry.status(40, third, 16_000, 2, None, vec![ended(run, failed())]);
    assert_eq!(answers(&effects), [(1, TASK_FAILED)]);
}

#[test]
fn attempt_numbers_rise_and_jump_when_a_target_reports_an_old_one() {
    use mastknot_core::job::NotRunCause;
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit(10, 1, job(1, 1, 100), 9_000);
    let (side, first) = starts(&effects)[0];
    let old = EndOfRun::NotRun(NotRunCause::OldAttempt);
    let effects = entry.status(20, side, 16_000, 1, None, vec![ended(first, old)]);
    let (_, second) = starts(&effects)[0];
    assert!(second.attempt > first.attempt + 1_000);
}

#[test]
fn a_duplicate_submission_joins_the_job_and_both_callers_are_answered() {
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit(10, 1, job(1, 1, 100), 9_000);
    let (side, run) = starts(&effects)[0];
    assert_eq!(starts(&entry.submit(20, 2, job(1, 1, 100), 9_000)), []);
    let effects = entry.status(30, side, 16_000, 1, None, vec![ended(run, EndOfRun::Done)]);
    let completed = JobAnswer::Completed;
    assert_eq!(answers(&effects), [(1, completed), (2, completed)]);
    assert_eq!(entry.scheduler.held_jobs(), 0);
}

#[test]
fn a_task_of_a_silent_side_starts_again_only_when_all_leases_have_expired() {
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit(10, 1, job(1, 1, 900), 9_000);
    assert_eq!(starts(&effects).len(), 1);
    entry.join(300, 1, 16_000);
    let mut restarts = Vec::new();
    for ms in (310..700).step_by(10) {
        let effects = entry.status(ms, 1, 16_000, 0, None, Vec::new());
        restarts.extend(starts(&effects).into_iter().map(|(side, _)| (ms, side)));
    }
    // The side last reported at 0 ms: after 350 ms of silence its link is closed, and its runs are over after 600 ms.
    assert_eq!(restarts, [(610, 1)]);
}

#[test]
fn the_runs_of_an_abandoned_job_are_stopped_and_the_job_is_forgotten() {
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit(10, 1, job(1, 1, 100), 9_000);
    let (side, run) = starts(&effects)[0];
    let caller = CallerId(1);
    let effects = entry
        .scheduler
        .step(at(20), SchedulerEvent::Abandon { caller });
    let stop = EntryOrder::Stop(run);
    let session = SessionId(side);
    assert!(effects.contains(&SchedulerEffect::Send {
        session,
        order: stop
    }));
    entry.status(
        30,
        side,
        16_000,
        1,
        None,
        vec![ended(run, EndOfRun::Stopped)],
    );
    assert_eq!(entry.scheduler.held_jobs(), 0);
}
