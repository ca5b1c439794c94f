//! Jobs with time left yield to jobs that find no capacity and have less time.
//!
//! Guards against this failure: when many jobs arrived at once after a restart, a few long jobs that could have
//! waited took all the capacity, and many short ones were refused while these ran. The cause was that a job started
//! as soon as a target had capacity for it, even if jobs with less time were waiting or about to arrive.

mod common;

use common::entry::*;
use mastknot_core::job::{EndOfRun, EndedRun, EntryOrder, JobId, NotRunCause};
use mastknot_core::scheduler::{SchedulerEffect, SchedulerEvent};

/// Returns the job of each started task, in order.
fn started_jobs(effects: &[SchedulerEffect]) -> Vec<JobId> {
    let starts = starts(effects);
    starts.iter().map(|(_, run)| run.task.job).collect()
}

/// Returns an entry without capacity at which a job of 200 ms has waited for 40 of the 180 ms that it can wait, and a
/// job of 900 ms that can wait for 600 ms has just arrived.
fn contended_entry() -> Entry {
    let mut entry = Entry::with_sides(&[0]);
    entry.submit_to("small", 10, 1, job(1, 1, 200));
    entry.submit_to("large", 50, 2, job(2, 1, 900));
    entry
}

fn tick(entry: &mut Entry, ms: u64) -> Vec<SchedulerEffect> {
    entry.scheduler.step(at(ms), SchedulerEvent::Tick)
}

#[test]
fn capacity_is_kept_for_small_jobs_while_it_is_contended() {
    let mut entry = contended_entry();
    let effects = entry.status(55, 0, 3_200, 0, None, Vec::new());
    assert_eq!(started_jobs(&effects), [JobId(1)]);
    let effects = entry.submit_to("small", 60, 3, job(3, 1, 200));
    assert_eq!(started_jobs(&effects), [JobId(3)]);
}

#[test]
fn a_yielding_job_starts_once_capacity_is_no_longer_contended() {
    let mut entry = contended_entry();
    entry.status(55, 0, 3_200, 0, None, Vec::new());
    // The small job last found no capacity at 50 ms, and such a job can wait for 180 ms.
    assert_eq!(
        entry.scheduler.next_tick().map(|due| due <= at(230)),
        Some(true)
    );
    assert_eq!(started_jobs(&tick(&mut entry, 229)), []);
    assert_eq!(started_jobs(&tick(&mut entry, 230)), [JobId(2)]);
}

#[test]
fn a_job_stops_yielding_in_the_last_part_of_its_maximum_wait() {
    let mut entry = contended_entry();
    for number in 0..6 {
        entry.submit_to(
            "small",
            80 + number * 50,
            10 + number,
            job(10 + number, 1, 200),
        );
        let effects = entry.status(100 + number * 50, 0, 0, 0, None, Vec::new());
        assert_eq!(started_jobs(&effects), []);
    }
    // The job's maximum wait ends 375 ms after its arrival; it stops yielding in the last tenth of that time.
    let effects = entry.status(387, 0, 16_000, 0, None, Vec::new());
    assert!(!started_jobs(&effects).contains(&JobId(2)), "{effects:?}");
    let effects = tick(&mut entry, 388);
    assert_eq!(started_jobs(&effects), [JobId(2)]);
}

#[test]
fn a_started_job_with_time_left_yields_too() {
    let mut entry = Entry::with_sides(&[3_200]);
    let effects = entry.submit_to("large", 10, 1, job(1, 2, 900));
    assert_eq!(started_jobs(&effects), [JobId(1), JobId(1)]);
    // One task of the job did not start and waits again.
    let turned_away = ended(starts(&effects)[1].1, EndOfRun::NotRun(NotRunCause::NoRoom));
    entry.status(15, 0, 0, 2, None, vec![turned_away]);
    entry.submit_to("small", 20, 2, job(2, 1, 200));
    entry.status(60, 0, 0, 2, None, Vec::new());
    let effects = entry.status(65, 0, 1_600, 2, None, Vec::new());
    assert_eq!(started_jobs(&effects), [JobId(2)]);
}

#[test]
fn a_queue_with_more_refused_jobs_does_not_yield() {
    let mut entry = Entry::with_sides(&[0]);
    entry.submit_to("large", 10, 1, job(1, 1, 900));
    entry.status(300, 0, 0, 0, None, Vec::new());
    // The large queue has lost a job, the small one none.
    let effects = entry.status(500, 0, 0, 0, None, Vec::new());
    assert_eq!(answers(&effects).len(), 1);
    entry.submit_to("small", 510, 2, job(2, 1, 200));
    entry.submit_to("large", 550, 3, job(3, 1, 900));
    let effects = entry.status(555, 0, 3_200, 0, None, Vec::new());
    assert_eq!(started_jobs(&effects), [JobId(2), JobId(3)]);
}

#[test]
fn jobs_of_a_more_urgent_queue_do_not_yield() {
    let mut entry = Entry::with_sides(&[0]);
    entry.submit_as(10, 1, job(1, 1, 200), 9_000, 1);
    entry.submit_to("large", 50, 2, job(2, 1, 900));
    let effects = entry.status(55, 0, 3_200, 0, None, Vec::new());
    assert_eq!(started_jobs(&effects), [JobId(2), JobId(1)]);
}

#[test]
fn a_brief_lack_of_capacity_makes_no_job_yield() {
    let mut entry = Entry::with_sides(&[0]);
    entry.submit_to("small", 10, 1, job(1, 1, 200));
    entry.submit_to("large", 15, 2, job(2, 1, 900));
    let effects = entry.status(20, 0, 3_200, 0, None, Vec::new());
    assert_eq!(started_jobs(&effects), [JobId(1), JobId(2)]);
}

#[test]
fn small_jobs_that_find_capacity_make_no_job_yield() {
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit_to("small", 10, 1, job(1, 1, 200));
    let done = starts(&effects).into_iter().map(|(_, run)| EndedRun {
        ran_ms: 200,
        ..ended(run, EndOfRun::Done)
    });
    entry.status(220, 0, 16_000, 1, None, done.collect());
    let effects = entry.submit_to("large", 230, 2, job(2, 1, 900));
    assert_eq!(started_jobs(&effects), [JobId(2)]);
}

#[test]
fn a_job_whose_caller_leaves_soon_does_not_yield() {
    let mut entry = Entry::with_sides(&[0]);
    entry.submit_to("small", 10, 1, job(1, 1, 200));
    // The caller's deadline leaves the job 75 ms to spare.
    entry.submit(50, 2, job(2, 1, 900), 1_000);
    let effects = entry.status(55, 0, 3_200, 0, None, Vec::new());
    assert_eq!(started_jobs(&effects), [JobId(1), JobId(2)]);
}

#[test]
fn jobs_that_a_queue_lost_long_ago_are_forgotten() {
    let mut entry = Entry::with_sides(&[0]);
    entry.submit_to("large", 10, 1, job(1, 1, 900));
    for ms in (300..30_000).step_by(300) {
        entry.status(ms, 0, 0, 0, None, Vec::new());
    }
    entry.submit_to("small", 30_000, 2, job(2, 1, 200));
    entry.submit_to("large", 30_040, 3, job(3, 1, 900));
    let effects = entry.status(30_045, 0, 3_200, 0, None, Vec::new());
    assert_eq!(started_jobs(&effects), [JobId(2)]);
}

/// A yielding job that waits already must not delay the notice to sides of a job with little time.
#[test]
fn sides_are_notified_at_once_of_the_first_job_that_does_not_yield() {
    let mut entry = contended_entry();
    entry.status(55, 0, 1_600, 0, None, Vec::new());
    let effects = entry.submit_to("small", 60, 3, job(3, 1, 200));
    let needs = effects.iter().filter(|effect| {
        let SchedulerEffect::Send { order, .. } = effect else {
            return false;
        };
        matches!(order, EntryOrder::Heartbeat { need: Some(_), .. })
    });
    assert_eq!(needs.count(), 1, "{effects:?}");
}
