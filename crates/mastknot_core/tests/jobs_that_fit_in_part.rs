//! A job of which only some tasks find capacity, followed by jobs with less slack.

mod common;

use common::entry::*;
use mastknot_core::job::{EndOfRun, EndedRun, JobAnswer, JobId, RunId};
use mastknot_core::scheduler::{SchedulerEffect, SchedulerEvent};

const LONG: JobId = JobId(1);
const NARROW: JobId = JobId(2);

/// Submits the long job. Its latency objective is 1,500 ms: its slack is 600 ms, and it is refused if none of its
/// tasks has started after 375 ms.
fn submit_long(entry: &mut Entry, ms: u64) -> Vec<SchedulerEffect> {
    entry.submit(ms, LONG.0, job(LONG.0, 4, 900), 9_000)
}

/// Submits the narrow job. Its latency objective is 380 ms: its slack is 180 ms, and it is refused if none of its
/// tasks has started after 95 ms.
fn submit_narrow(entry: &mut Entry, ms: u64) -> Vec<SchedulerEffect> {
    entry.submit(ms, NARROW.0, job(NARROW.0, 2, 200), 9_000)
}

/// Returns the number of tasks of a job that are started.
fn started(effects: &[SchedulerEffect], job: JobId) -> usize {
    let starts = starts(effects);
    starts.iter().filter(|(_, run)| run.task.job == job).count()
}

fn runs_of(effects: &[SchedulerEffect], job: JobId) -> Vec<RunId> {
    let runs = starts(effects).into_iter().map(|(_, run)| run);
    runs.filter(|run| run.task.job == job).collect()
}

fn is_refused(effects: &[SchedulerEffect]) -> bool {
    let refused = |answer: &JobAnswer| matches!(answer, JobAnswer::Refused { .. });
    answers(effects).iter().any(|(_, answer)| refused(answer))
}

/// Guards against long jobs that start task by task, take precedence from then on, and make other jobs miss the last
/// moment at which these can start.
#[test]
fn a_job_that_fits_in_part_leaves_the_capacity_to_one_with_less_slack() {
    let mut entry = Entry::with_sides(&[3_200]);
    let mut effects = submit_long(&mut entry, 10);
    effects.extend(submit_narrow(&mut entry, 12));
    // Capacity for two more tasks becomes free.
    let running = starts(&effects).len() as u32;
    let free = 3_200 * 2 - 1_600 * running;
    effects.extend(entry.status(60, 0, free, u64::from(running), None, Vec::new()));
    effects.extend(entry.scheduler.step(at(110), SchedulerEvent::Tick));
    assert!(!is_refused(&effects), "{:?}", answers(&effects));
    assert_eq!(started(&effects, NARROW), 2);

    // The narrow job is done, and the capacity for the other tasks of the long job is free long before its slack is
    // used up.
    let done = runs_of(&effects, NARROW).into_iter().map(|run| EndedRun {
        ran_ms: 200,
        ..ended(run, EndOfRun::Done)
    });
    let long_so_far = started(&effects, LONG) as u32;
    let seen = starts(&effects).len() as u64;
    let free = 1_600 * (4 - long_so_far);
    effects.extend(entry.status(270, 0, free, seen, None, done.collect()));
    assert_eq!(started(&effects, LONG), 4);
}
