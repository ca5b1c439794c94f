//! Guards against failing a job whose targets crashed just after its task had ended, before their sides learned of it.
//!
//! The job was answered `failed`, as one that crashes targets, although its task had done its work. The target crashed
//! while the report of the end was in transit, and the report was lost with the connection. The side and all entries
//! regarded the task as running. The next run of the task ended in the same way after about the same time, as both runs
//! had done all of the work, and two such crashes were attributed to the task. A run counted as running until its side
//! received its end, however long that was overdue.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId, TaskRef};
use mastknot_virtual::{GivenAnswer, JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

const SUBMITTED: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(40);
const END: Duration = Duration::from_secs(10);
/// Time between the end of a task and the crash of its target. The report of an end takes a tenth of a millisecond to
/// arrive, so it is lost.
const REPORT_IN_TRANSIT: Duration = Duration::from_micros(50);
const DOWN: Duration = Duration::from_secs(3);

/// Plays a job of one task with crashes of the given sides' targets at the given times.
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
            downtime: DOWN,
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

/// Plays a job whose target crashes just after the task's end, `times` times. Each scenario determines where and when
/// the task ends next, and so the next crash.
fn crash_after_each_end(seed: u64, times: usize) -> (JobSystem, JobId) {
    let mut crashes = Vec::new();
    for _ in 0..times {
        let (system, job) = play(seed, &crashes);
        let (side, at) = system
            .audit()
            .last_done(task(job))
            .expect("the task was done");
        crashes.push((side, at + REPORT_IN_TRANSIT));
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
        assert_eq!(starts, 3, "seed {seed}: the reports of both ends were lost");
        let answers = answers(&system, job);
        assert_eq!(answers, [JobAnswer::Completed], "seed {seed}");
    }
}
