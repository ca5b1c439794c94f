//! Jobs with time left begin with all their tasks, or wait for their turn.

mod common;

use common::entry::*;
use mastknot_core::job::JobId;
use mastknot_core::scheduler::SchedulerEvent;

#[test]
fn a_job_begins_at_once_where_all_its_tasks_find_room() {
    let mut entry = Entry::with_sides(&[3_200, 3_200]);
    let effects = entry.submit(10, 1, job(1, 4, 900), 9_000);
    assert_eq!(starts(&effects).len(), 4);
}

/// Guards against a refusal beside free room: nothing else wakes the entry in the job's turn.
#[test]
fn a_job_begins_with_what_there_is_in_its_turn() {
    let mut entry = Entry::with_sides(&[4_800]);
    let effects = entry.submit(10, 1, job(1, 4, 900), 9_000);
    assert_eq!(starts(&effects), []);
    entry.status(300, 0, 4_800, 0, None, Vec::new());
    // Nine tenths of its patience of 375 ms.
    let due = entry.scheduler.next_tick();
    assert!(due.is_some_and(|due| due <= at(348)), "{due:?}");
    let effects = entry.scheduler.step(at(348), SchedulerEvent::Tick);
    assert_eq!(starts(&effects).len(), 3);
}

#[test]
fn a_job_that_is_wider_than_all_targets_begins_with_what_there_is() {
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit(10, 1, job(1, 11, 900), 9_000);
    assert_eq!(starts(&effects).len(), 10);
}

#[test]
fn a_job_with_little_time_begins_with_what_there_is() {
    let mut entry = Entry::with_sides(&[4_800]);
    let effects = entry.submit(10, 1, job(1, 4, 200), 9_000);
    assert_eq!(starts(&effects).len(), 3);
}

#[test]
fn tasks_that_are_to_run_apart_count_so() {
    let mut entry = Entry::with_sides(&[3_200, 1_600]);
    let mut apart = job(1, 2, 900);
    apart.steps[0].max_per_target = 1;
    let effects = entry.submit(10, 1, apart.clone(), 9_000);
    assert_eq!(starts(&effects).len(), 2);

    let mut entry = Entry::with_sides(&[3_200, 0]);
    let effects = entry.submit(10, 1, apart, 9_000);
    assert_eq!(starts(&effects), []);
}

/// Guards against jobs that wait and yet take the looks of those that could begin.
#[test]
fn jobs_that_wait_for_room_hold_up_nobody() {
    let mut entry = Entry::with_sides(&[4_800]);
    for number in 0..40 {
        entry.submit_as(10, number, job(number, 4, 900), 9_000, 0);
    }
    let effects = entry.submit_as(11, 50, job(50, 1, 200), 9_000, 1);
    let started = starts(&effects).into_iter().map(|(_, run)| run.task.job);
    assert_eq!(started.collect::<Vec<JobId>>(), [JobId(50)]);
}
