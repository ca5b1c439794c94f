//! Gang starts: jobs with time left start all their tasks at once, or wait until they may start with fewer.

mod common;

use common::entry::*;
use mastknot_core::job::JobId;
use mastknot_core::scheduler::SchedulerEvent;

#[test]
fn a_job_starts_at_once_if_all_its_tasks_find_capacity() {
    let mut entry = Entry::with_sides(&[3_200, 3_200]);
    let effects = entry.submit(10, 1, job(1, 4, 900), 9_000);
    assert_eq!(starts(&effects).len(), 4);
}

/// Guards against a refusal while capacity is free: no other event activates the entry when the job may start with
/// fewer tasks.
#[test]
fn a_job_starts_with_the_free_capacity_late_in_its_wait() {
    let mut entry = Entry::with_sides(&[4_800]);
    let effects = entry.submit(10, 1, job(1, 4, 900), 9_000);
    assert_eq!(starts(&effects), []);
    entry.status(300, 0, 4_800, 0, None, Vec::new());
    // Nine tenths of the job's maximum wait of 375 ms.
    let due = entry.scheduler.next_tick();
    assert!(due.is_some_and(|due| due <= at(348)), "{due:?}");
    let effects = entry.scheduler.step(at(348), SchedulerEvent::Tick);
    assert_eq!(starts(&effects).len(), 3);
}

#[test]
fn a_job_that_is_wider_than_all_targets_starts_with_the_free_capacity() {
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit(10, 1, job(1, 11, 900), 9_000);
    assert_eq!(starts(&effects).len(), 10);
}

#[test]
fn a_job_with_little_time_starts_with_the_free_capacity() {
    let mut entry = Entry::with_sides(&[4_800]);
    let effects = entry.submit(10, 1, job(1, 4, 200), 9_000);
    assert_eq!(starts(&effects).len(), 3);
}

#[test]
fn a_gang_start_respects_the_limit_of_tasks_per_target() {
    let mut entry = Entry::with_sides(&[3_200, 1_600]);
    let mut spread = job(1, 2, 900);
    spread.steps[0].max_per_target = 1;
    let effects = entry.submit(10, 1, spread.clone(), 9_000);
    assert_eq!(starts(&effects).len(), 2);

    let mut entry = Entry::with_sides(&[3_200, 0]);
    let effects = entry.submit(10, 1, spread, 9_000);
    assert_eq!(starts(&effects), []);
}

/// Guards against jobs that wait for a gang start and still use up the placement attempts of jobs that could start.
#[test]
fn jobs_that_wait_for_capacity_delay_no_other_job() {
    let mut entry = Entry::with_sides(&[4_800]);
    for number in 0..40 {
        entry.submit_as(10, number, job(number, 4, 900), 9_000, 0);
    }
    let effects = entry.submit_as(11, 50, job(50, 1, 200), 9_000, 1);
    let started = starts(&effects).into_iter().map(|(_, run)| run.task.job);
    assert_eq!(started.collect::<Vec<JobId>>(), [JobId(50)]);
}
