//! Targets that crash just after a task has ended there, before their sides have heard of it.
//!
//! What a caller saw: its job was answered `failed`, as one that crashes targets, although its task had done its work. What
//! happened: the target crashed while the word of the end was on its way, which was lost with the connection. To the side
//! the task still ran, and so it did to all entries; the next run of the task had the same fate, after about the same
//! time, as both had done all of the task's work. Two such crashes told that the task had brought them about. The cause: a run counted
//! as going on until its side heard of its end, however long it was due. The evidence: the worker's own record
//! of the second run said that it was done some milliseconds before the crash.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId, TaskRef};
use mastknot_virtual::{GivenAnswer, JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

const SUBMITTED: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(40);
const END: Duration = Duration::from_secs(10);
/// The word of an end is on its way for a tenth of a millisecond.
const ON_ITS_WAY: Duration = Duration::from_micros(50);
const DOWN: Duration = Duration::from_secs(3);

/// Plays one job of one task, with targets that crash at these times.
fn play(seed: u64, crashes: &[(usize, Duration)]) -> (JobSystem, JobId) {
    let mut system = JobSystem::new(JobSystemSettings {
        entries: 4,
        sides: 11,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    });
    let job = system.submit(SUBMITTED, 0, 1, WORK);
    for (side, at) in crashes.iter().copied() {
        let fault = JobFault::CrashTarget {
            side,
            down: DOWN,
            is_silent: false,
        };
        system.plan(JobFaultPlan { at, fault });
    }
    system.run_until(END);
    (system, job)
}

fn task(job: JobId) -> TaskRef {
    TaskRef {
        job,
        step: 0,
        index: 0,
    }
}

/// Plays the same job until its target has crashed so often just after its end; each play shows where and when it ends
/// next.
fn crash_after_each_end(seed: u64, times: usize) -> (JobSystem, JobId) {
    let mut crashes = Vec::new();
    for _ in 0..times {
        let (system, job) = play(seed, &crashes);
        let (side, at) = system.audit().last_done(task(job)).expect("it was done");
        crashes.push((side, at + ON_ITS_WAY));
    }
    play(seed, &crashes)
}

fn answers(system: &JobSystem, job: JobId) -> Vec<JobAnswer> {
    let given = system.audit().answers_to(job).iter();
    given.map(|given: &GivenAnswer| given.answer).collect()
}

#[test]
fn a_job_whose_ends_were_lost_with_their_targets_is_not_failed() {
    for seed in 0..5 {
        let (system, job) = crash_after_each_end(seed, 2);
        assert_eq!(system.violations(), [], "seed {seed}");
        let starts = system.audit().starts_of(task(job));
        assert_eq!(starts, 3, "seed {seed}: both words were lost");
        let answers = answers(&system, job);
        assert_eq!(answers, [JobAnswer::Completed], "seed {seed}");
    }
}
