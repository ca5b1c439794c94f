//! Attribution of crashes of targets to tasks by entries, and separation of suspects by sides.

mod common;

use std::sync::Arc;

use common::entry::*;
use common::side;
use common::side::{ENTRY, OTHER, Side};
use mastknot_core::agent::{AgentEffect, AgentEvent, ProbeFailure};
use mastknot_core::job::{
    CrashedRun, EndOfRun, EntryOrder, FailureCause, JobAnswer, JobId, NotRunCause, RunId,
    SideReport, StartOrder, TargetCrash, TargetId, TaskKind, TaskRef,
};

const FAILED: JobAnswer = JobAnswer::Failed {
    cause: FailureCause::CrashesTargets,
};

fn run_of(job: u64, index: u16, attempt: u64) -> RunId {
    let job = JobId(job);
    let task = TaskRef {
        job,
        step: 0,
        index,
    };
    RunId { task, attempt }
}

fn crash(target: &str, runs: &[(RunId, u32)]) -> TargetCrash {
    let runs = runs.iter().map(|(run, ran_ms)| CrashedRun {
        run: *run,
        kind: TaskKind::default(),
        ran_ms: *ran_ms,
        has_begun: true,
        may_have_ended: false,
    });
    TargetCrash {
        target: TargetId::named(target),
        ago_ms: 0,
        was_silent: false,
        runs: runs.collect(),
    }
}

/// Reports that a side's target crashed during the first run of a job's first task.
fn report_crash(entry: &mut Entry, ms: u64, target: &str, job: u64, ran_ms: u32) {
    let crash = crash(target, &[(run_of(job, 0, 1), ran_ms)]);
    entry.reports(ms, 0, vec![SideReport::TargetCrashed(crash)]);
}

#[test]
fn a_job_of_a_task_that_crashed_two_targets_elsewhere_is_answered_before_it_starts() {
    let mut entry = Entry::with_sides(&[16_000]);
    report_crash(&mut entry, 10, "target-a", 7, 12);
    report_crash(&mut entry, 20, "target-b", 7, 11);
    let effects = entry.submit(30, 1, job(7, 2, 60), 2_000);
    assert_eq!(starts(&effects), []);
    assert_eq!(answers(&effects), [(1, FAILED)]);
    assert_eq!(entry.scheduler.held_jobs(), 0);
    let effects = entry.submit(31, 2, job(8, 2, 60), 2_000);
    assert_eq!(starts(&effects).len(), 2, "other jobs start");
}

#[test]
fn a_crash_that_is_reported_again_counts_once() {
    let mut entry = Entry::with_sides(&[16_000]);
    report_crash(&mut entry, 10, "target-a", 7, 12);
    report_crash(&mut entry, 20, "target-a", 7, 12);
    let effects = entry.submit(30, 1, job(7, 2, 60), 2_000);
    assert_eq!(starts(&effects).len(), 2);
}

#[test]
fn crashes_of_long_runs_at_different_times_confirm_nothing_until_there_are_five() {
    let mut entry = Entry::with_sides(&[16_000]);
    for (number, ran_ms) in [300, 420, 510, 640].into_iter().enumerate() {
        report_crash(&mut entry, 10, &format!("target-{number}-x"), 7, ran_ms);
    }
    let effects = entry.submit(30, 1, job(7, 1, 900), 2_000);
    assert_eq!(starts(&effects).len(), 1);
    let effects = entry.submit(31, 2, job(9, 1, 900), 2_000);
    assert_eq!(starts(&effects).len(), 1);
    let fifth = crash("target-5-x", &[(run_of(7, 0, 1), 55)]);
    let effects = entry.reports(40, 0, vec![SideReport::TargetCrashed(fifth)]);
    assert_eq!(answers(&effects), [(1, FAILED)]);
}

#[test]
fn runs_of_a_job_that_is_given_up_are_stopped() {
    let mut entry = Entry::with_sides(&[16_000]);
    let effects = entry.submit(5, 1, job(7, 2, 60), 2_000);
    let second = starts(&effects)[1].1;
    report_crash(&mut entry, 10, "target-a", 7, 12);
    let second_crash = crash("target-b", &[(run_of(7, 0, 2), 12)]);
    let effects = entry.reports(20, 0, vec![SideReport::TargetCrashed(second_crash)]);
    assert_eq!(answers(&effects), [(1, FAILED)]);
    let stops = effects.iter().filter(|effect| {
        use mastknot_core::scheduler::SchedulerEffect::Send;
        matches!(effect, Send { order: EntryOrder::Stop(run), .. } if *run == second)
    });
    assert_eq!(stops.count(), 1);
}

/// The crash history is bounded in time and in size, whatever keys callers choose.
#[test]
fn crashes_are_forgotten_after_a_minute_and_beyond_256() {
    let mut entry = Entry::with_sides(&[16_000]);
    report_crash(&mut entry, 10, "target-a", 7, 12);
    report_crash(&mut entry, 20, "target-b", 7, 12);
    entry.join(60_031, 0, 16_000);
    let effects = entry.submit(60_040, 1, job(7, 1, 60), 2_000);
    assert_eq!(
        starts(&effects).len(),
        1,
        "the job may start a minute later"
    );

    let mut entry = Entry::with_sides(&[16_000]);
    report_crash(&mut entry, 10, "target-a", 7, 12);
    report_crash(&mut entry, 10, "target-b", 7, 12);
    for other in 0..255 {
        report_crash(
            &mut entry,
            20,
            &format!("target-{other}-y"),
            1_000 + other,
            12,
        );
    }
    let effects = entry.submit(30, 1, job(7, 1, 60), 2_000);
    assert_eq!(starts(&effects).len(), 1, "the oldest crash is forgotten");
}

#[test]
fn suspects_of_one_job_run_one_after_the_other() {
    let mut entry = Entry::with_sides(&[16_000, 16_000]);
    let both = [(run_of(7, 0, 1), 12), (run_of(7, 1, 2), 12)];
    let reported = crash("target-a", &both);
    entry.reports(10, 0, vec![SideReport::TargetCrashed(reported)]);
    let effects = entry.submit(20, 1, job(7, 2, 60), 2_000);
    assert_eq!(starts(&effects).len(), 1);
    let first = starts(&effects)[0];
    let effects = entry.status(30, first.0, 14_400, 1, None, Vec::new());
    assert_eq!(starts(&effects), [], "the first may still crash its target");
    let effects = entry.status(60, first.0, 14_400, 1, None, Vec::new());
    assert_eq!(
        starts(&effects).len(),
        1,
        "the first has outlived the time at which suspects crash"
    );
}

fn suspect(job: u64, crashed_after_ms: u32) -> EntryOrder {
    EntryOrder::Start(StartOrder {
        run: side::run(job),
        payload: Arc::from("text"),
        required_capacity: side::cpu(1_000),
        estimate_ms: 100,
        kind: TaskKind::default(),
        kind_crashed_after_ms: None,
        crashed_after_ms: Some(crashed_after_ms),
        rank: 0,
        may_wait_ms: 0,
        last_received: 0,
    })
}

#[test]
fn a_side_keeps_similar_suspects_apart() {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    assert_eq!(
        side::ordered(&side.order(1_001, ENTRY, suspect(1, 12))),
        [side::run(1)]
    );
    let effects = side.order(1_003, OTHER, suspect(2, 15));
    let other_suspect = EndOfRun::NotRun(NotRunCause::OtherSuspect);
    assert_eq!(side::ends(&effects), [other_suspect]);
    let effects = side.order(1_004, OTHER, suspect(3, 80));
    assert_eq!(
        side::ordered(&effects).len(),
        1,
        "its time to crash would distinguish it"
    );
    let effects = side.order(1_005, OTHER, side::start(4, 1_000));
    assert_eq!(
        side::ordered(&effects).len(),
        1,
        "the task is not a suspect"
    );
    let effects = side.order(1_050, OTHER, suspect(5, 15));
    assert_eq!(side::ordered(&effects).len(), 1, "the first is cleared");
}

fn reported_crashes(effects: &[AgentEffect]) -> Vec<(mastknot_core::agent::SessionId, u32)> {
    let reported_crashes = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session,
            report: SideReport::TargetCrashed(crash),
        } => Some((*session, crash.ago_ms)),
        _ => None,
    });
    reported_crashes.collect()
}

#[test]
fn all_entries_receive_a_crash_report_even_those_that_link_later() {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    let effects = side.order(1_001, ENTRY, side::start(1, 1_000));
    let number = side::probe_number(&effects).expect("a probe is under way");
    let result = Err(ProbeFailure::Refused);
    let effects = side.step(1_011, AgentEvent::Probed { number, result });
    assert_eq!(reported_crashes(&effects), [(ENTRY, 0), (OTHER, 0)]);
    let third = mastknot_core::agent::SessionId(3);
    let effects = side.join(2_011, third, "entry-3", 1);
    assert_eq!(reported_crashes(&effects), [(third, 1_000)]);
    let fourth = mastknot_core::agent::SessionId(4);
    let effects = side.join(61_012, fourth, "entry-4", 1);
    assert_eq!(
        reported_crashes(&effects),
        [],
        "a crash is not reported after a minute"
    );
}
