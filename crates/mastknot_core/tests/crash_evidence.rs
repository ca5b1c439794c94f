//! Evidence from crashes of targets against the tasks that ran there, and against the kinds of these tasks.

mod common;

use std::sync::Arc;

use common::entry::*;
use mastknot_core::job::{
    CrashedRun, EndOfRun, FailureCause, JobAnswer, JobId, JobRequest, LearnedProfile,
    LearnedSuspect, RunId, SideReport, TargetCrash, TargetId, TaskKind, TaskRef,
};
use mastknot_core::scheduler::{SchedulerEffect, SchedulerEvent};
use mastknot_core::types::{NodeName, WallTime};

const WRITTEN: u64 = 1_700_000_000_000;

const FAILED: JobAnswer = JobAnswer::Failed {
    cause: FailureCause::CrashesTargets,
};
const SIDES: u64 = 8;
const IMAGE: &str = "image";
const TASKS_A_JOB: u16 = 4;

/// Returns a run of a job's task that had been under way for this time when its target crashed.
fn crashed_run(job: u64, index: u16, ran_ms: u32) -> CrashedRun {
    let task = TaskRef {
        job: JobId(job),
        step: 0,
        index,
    };
    CrashedRun {
        run: RunId { task, attempt: 1 },
        kind: TaskKind::default(),
        ran_ms,
        has_begun: true,
        may_have_ended: false,
    }
}

struct Fixture {
    entry: Entry,
    crashes: u64,
}

impl Fixture {
    fn new() -> Self {
        let entry = Entry::with_sides(&[16_000; SIDES as usize]);
        Self { entry, crashes: 0 }
    }

    /// Reports a crash of the side's target during these runs.
    fn crash(&mut self, ms: u64, side: u64, runs: &[CrashedRun]) -> Vec<SchedulerEffect> {
        self.crashes += 1;
        let crash = TargetCrash {
            target: TargetId::named(format!("life-{}", self.crashes)),
            ago_ms: 0,
            was_silent: false,
            runs: runs.to_vec(),
        };
        let reports = vec![SideReport::TargetCrashed(crash)];
        self.entry.reports(ms, side, reports)
    }

    /// Submits jobs of the contained kind from this time on, one every 100 ms, and completes them; all sides keep
    /// reporting.
    fn run_jobs(&mut self, ms: u64, jobs: u64) {
        for ms in (0..jobs).map(|number| ms + 100 * number) {
            let job = job_with_image(1_000 + ms, TASKS_A_JOB);
            let started = self.entry.submit(ms, 1_000 + ms, job, 2_000);
            let started = starts(&started);
            assert_eq!(started.len(), usize::from(TASKS_A_JOB), "at {ms}");
            for side in 0..SIDES {
                let of_side = started.iter().filter(|(own, _)| *own == side);
                let done = of_side.map(|(_, run)| ended(*run, EndOfRun::Done));
                let done = done.collect();
                let all_seen = u64::MAX;
                self.entry
                    .status(ms + 20, side, 16_000, all_seen, None, done);
            }
        }
    }

    fn released(&self) -> u64 {
        self.entry.scheduler.counters().kinds_released
    }

    /// Submits a job and returns whether it is failed at once.
    fn is_failed(&mut self, ms: u64, id: u64) -> bool {
        let effects = self.entry.submit(ms, id, job(id, 1, 60), 2_000);
        answers(&effects) == [(id, FAILED)]
    }
}

/// A job used to be failed for crashes that another job, running beside it, had caused.
#[test]
fn unrelated_tasks_beside_a_task_that_crashes_targets_are_cleared() {
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[crashed_run(7, 0, 12), crashed_run(8, 0, 30)]);
    fixture.crash(40, 1, &[crashed_run(7, 0, 11)]);
    let of_other_kind = of_kind(crashed_run(9, 0, 12), kinds().1);
    fixture.crash(80, 2, &[of_other_kind, crashed_run(8, 0, 28)]);
    assert!(fixture.is_failed(90, 7));
    assert!(!fixture.is_failed(91, 8));
}

/// Two tasks of two jobs had similar run times in the same two crashes; a third crash shows which of them caused it.
#[test]
fn two_jobs_that_may_both_have_crashed_the_same_targets_are_told_apart_by_the_third() {
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[crashed_run(7, 0, 14), crashed_run(8, 0, 31)]);
    let effects = fixture.crash(50, 1, &[crashed_run(7, 0, 12), crashed_run(8, 0, 29)]);
    assert_eq!(answers(&effects), []);
    fixture.crash(80, 2, &[crashed_run(7, 0, 13)]);
    assert!(fixture.is_failed(90, 7));
    assert!(!fixture.is_failed(91, 8));
}

/// Tasks of a wide job that started together have the same age when two targets crash together.
#[test]
fn tasks_that_began_together_do_not_hide_the_one_that_crashes_targets() {
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[crashed_run(7, 0, 10), crashed_run(9, 1, 40)]);
    fixture.crash(22, 1, &[crashed_run(7, 0, 10), crashed_run(9, 2, 46)]);
    assert!(fixture.is_failed(30, 7));
    assert!(!fixture.is_failed(31, 9));
}

/// A run that lasted as long as expected may have completed, with the report of its end lost in the crash.
#[test]
fn two_crashes_during_runs_that_may_have_ended_confirm_nothing() {
    let possibly_ended = |ran_ms| CrashedRun {
        may_have_ended: true,
        ..crashed_run(7, 0, ran_ms)
    };
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[possibly_ended(38)]);
    fixture.crash(60, 1, &[possibly_ended(32)]);
    assert!(!fixture.is_failed(70, 7));
    fixture.crash(120, 2, &[possibly_ended(35)]);
    assert!(
        fixture.is_failed(130, 7),
        "three similar crashes confirm the task"
    );
}

fn of_kind(run: CrashedRun, kind: TaskKind) -> CrashedRun {
    CrashedRun { kind, ..run }
}

/// Returns the kind of the tasks of [`job`] and that of the tasks of [`job_with_image`].
fn kinds() -> (TaskKind, TaskKind) {
    let plain = TaskKind::new("queue", None);
    (plain, TaskKind::new("queue", Some(IMAGE)))
}

fn job_with_image(id: u64, tasks: u16) -> JobRequest {
    let mut request = job(id, tasks, 60);
    request.steps[0].image = Some(Arc::from(IMAGE));
    request
}

/// A healthy task that was running on two targets, each crashed by a new task of another kind, used to be failed, and
/// its kind contained.
#[test]
fn crashes_of_tasks_of_another_kind_are_not_attributed_to_a_task() {
    let (healthy, bad) = kinds();
    let healthy_run = |job, ran_ms| of_kind(crashed_run(job, 0, ran_ms), healthy);
    let bad_run = |job| of_kind(crashed_run(job, 0, 10), bad);
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[bad_run(7), healthy_run(1, 18)]);
    fixture.crash(21, 1, &[bad_run(8), healthy_run(1, 9)]);
    assert_eq!(fixture.entry.scheduler.counters().kinds_contained, 0);
    assert!(!fixture.is_failed(22, 1));
    fixture.crash(50, 2, &[bad_run(9), healthy_run(2, 40)]);
    fixture.crash(70, 3, &[bad_run(9), healthy_run(2, 15)]);
    let contained = fixture.entry.scheduler.learned().suspects;
    let contained: Vec<TaskKind> = contained.iter().map(|suspect| suspect.kind).collect();
    assert_eq!(contained, [bad]);
    assert!(fixture.is_failed(80, 9));
    assert!(!fixture.is_failed(81, 1));
}

/// Unrelated tasks of another kind do not hide a task that crashes targets if the kind of that task explains more
/// crashes.
#[test]
fn a_kind_that_explains_fewer_crashes_does_not_hide_the_crashing_kind() {
    let (healthy, bad) = kinds();
    let healthy_run = |job, ran_ms| of_kind(crashed_run(job, 0, ran_ms), healthy);
    let bad_run = |job| of_kind(crashed_run(job, 0, 10), bad);
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[bad_run(6), healthy_run(1, 60)]);
    fixture.crash(30, 1, &[bad_run(7), healthy_run(2, 8)]);
    fixture.crash(50, 2, &[bad_run(7), healthy_run(3, 12)]);
    assert_eq!(fixture.entry.scheduler.counters().kinds_contained, 1);
    assert!(fixture.is_failed(60, 7));
}

/// Unrelated tasks of another kind do not hide a task that crashes targets if their times to the crash vary more than
/// those of the task.
#[test]
fn a_kind_whose_times_vary_more_does_not_hide_the_crashing_kind() {
    let (healthy, bad) = kinds();
    let healthy_run = |job, ran_ms| of_kind(crashed_run(job, 0, ran_ms), healthy);
    let bad_run = |job| of_kind(crashed_run(job, 0, 10), bad);
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[bad_run(7), healthy_run(1, 7)]);
    fixture.crash(30, 1, &[bad_run(7), healthy_run(2, 16)]);
    assert_eq!(fixture.entry.scheduler.counters().kinds_contained, 1);
    assert!(fixture.is_failed(40, 7));
}

/// The sides of the targets that a kind has crashed are reserved for it first, so that the other kinds lose no
/// further target.
#[test]
fn the_targets_that_a_kind_has_crashed_are_reserved_for_it_first() {
    let (_, bad) = kinds();
    for (first, second) in
        (0..SIDES).flat_map(|first| (0..first).map(move |second| (first, second)))
    {
        let mut fixture = Fixture::new();
        fixture.crash(10, first, &[of_kind(crashed_run(7, 0, 12), bad)]);
        fixture.crash(30, second, &[of_kind(crashed_run(7, 0, 11), bad)]);
        let effects = fixture.entry.submit(40, 1, job(8, 32, 60), 2_000);
        let used: Vec<u64> = starts(&effects).iter().map(|(side, _)| *side).collect();
        assert!(!used.is_empty());
        let is_reserved = |side: &u64| *side == first || *side == second;
        assert!(
            !used.iter().any(is_reserved),
            "{first} and {second}: {used:?}"
        );
        let effects = fixture.entry.submit(41, 2, job_with_image(9, 32), 2_000);
        let used: Vec<u64> = starts(&effects).iter().map(|(side, _)| *side).collect();
        assert!(
            used.iter().any(is_reserved),
            "{first} and {second}: {used:?}"
        );
    }
}

/// Runs that had started before a kind was contained crashed targets that were not reserved for it. The other kinds
/// kept these targets and lost as many healthy ones to the contained kind.
#[test]
fn targets_that_a_contained_kind_crashes_later_are_reserved_for_it_too() {
    let (_, bad) = kinds();
    let bad_run = |job, ran_ms| of_kind(crashed_run(job, 0, ran_ms), bad);
    for third in 2..SIDES {
        let mut fixture = Fixture::new();
        fixture.crash(10, 0, &[bad_run(7, 12)]);
        fixture.crash(30, 1, &[bad_run(7, 11)]);
        fixture.crash(35, third, &[bad_run(9, 12)]);
        let effects = fixture.entry.submit(40, 1, job(8, 32, 60), 2_000);
        let used: Vec<u64> = starts(&effects).iter().map(|(side, _)| *side).collect();
        assert!(!used.is_empty());
        assert!(!used.contains(&third), "{third}: {used:?}");
    }
}

/// Guards against refusals of jobs of healthy kinds after a restart of all processes: a contained kind got other
/// targets than before and crashed them, while those that it had crashed earlier were still down.
#[test]
fn the_reserved_sides_of_a_kind_survive_a_restart_of_all_processes() {
    let (_, bad) = kinds();
    for own in 0..SIDES {
        let mut fixture = Fixture::new();
        let suspect = LearnedSuspect {
            kind: bad,
            crashed_after_ms: 12,
            share_per_mille: 125,
            crashed_sides: vec![format!("side-{own}").as_str().into()],
        };
        let profile = LearnedProfile {
            written_ms: WRITTEN,
            suspects: vec![suspect.clone()],
            ..LearnedProfile::default()
        };
        let event = SchedulerEvent::Learned {
            profile: Arc::new(profile),
            wall: WallTime::from_millis(WRITTEN + 1_000),
        };
        fixture.entry.scheduler.step(at(10), event);
        assert_eq!(fixture.entry.scheduler.learned().suspects, [suspect]);
        let effects = fixture.entry.submit(20, 1, job(8, 32, 60), 2_000);
        let used = starts(&effects);
        assert!(used.iter().all(|(side, _)| *side != own), "{own}: {used:?}");
        let effects = fixture.entry.submit(21, 2, job_with_image(9, 4), 2_000);
        let used = starts(&effects);
        assert!(used.iter().all(|(side, _)| *side == own), "{own}: {used:?}");
        assert!(!used.is_empty());
    }
}

/// Time after its containment at which a kind without further crashes has been released, in milliseconds.
const RELEASED_AFTER_MS: u64 = 10_001;

/// Returns an entry that has contained and released a kind; job 6 is a known suspect, because it crashed a target
/// like the other jobs of the kind.
fn released() -> (Fixture, TaskKind, u64) {
    let (_, bad) = kinds();
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[of_kind(crashed_run(7, 0, 12), bad)]);
    fixture.crash(30, 1, &[of_kind(crashed_run(7, 0, 11), bad)]);
    fixture.crash(50, 2, &[of_kind(crashed_run(6, 0, 12), bad)]);
    assert_eq!(fixture.entry.scheduler.counters().kinds_contained, 1);
    let now = 50 + RELEASED_AFTER_MS;
    for side in 0..SIDES {
        fixture.entry.join(now, side, 16_000);
    }
    assert_eq!(fixture.entry.scheduler.counters().kinds_released, 1);
    (fixture, bad, now)
}

/// A job that crashed a target before the release is no evidence about the new jobs of its kind.
#[test]
fn a_known_suspect_does_not_contain_its_kind_again() {
    let (mut fixture, bad, now) = released();
    let other_run = of_kind(crashed_run(11, 0, 15), bad);
    fixture.crash(
        now + 10,
        3,
        &[of_kind(crashed_run(6, 0, 12), bad), other_run],
    );
    assert_eq!(fixture.entry.scheduler.counters().kinds_contained, 1);
    assert!(fixture.is_failed(now + 20, 6));

    let (mut fixture, bad, now) = released();
    fixture.crash(now + 10, 3, &[of_kind(crashed_run(10, 0, 12), bad)]);
    assert_eq!(fixture.entry.scheduler.counters().kinds_contained, 2);
}

/// An entry that released a kind and contained it again used to reserve other sides for it than those whose targets
/// it had crashed.
#[test]
fn a_kind_that_is_contained_again_gets_its_reserved_sides_back() {
    let (mut fixture, bad, now) = released();
    fixture.crash(now + 10, 5, &[of_kind(crashed_run(10, 0, 12), bad)]);
    let suspects = fixture.entry.scheduler.learned().suspects;
    let crashed: Vec<&str> = suspects[0]
        .crashed_sides
        .iter()
        .map(NodeName::as_str)
        .collect();
    assert_eq!(crashed, ["side-0", "side-1", "side-2", "side-5"]);
}

/// A kind used to be released while it still crashed targets, after a number of runs without a crash that occurs by
/// chance.
#[test]
fn a_kind_of_which_few_crashes_are_known_is_not_released_by_chance() {
    let (_, bad) = kinds();
    let mut fixture = Fixture::new();
    for (job, ms) in [(7, 10), (7, 30), (8, 50), (9, 70)] {
        fixture.crash(ms, job - 7, &[of_kind(crashed_run(job, 0, 12), bad)]);
    }
    fixture.run_jobs(80, 11);
    assert_eq!(fixture.released(), 0, "after 44 runs in a second");
    fixture.run_jobs(1_180, 30);
    assert_eq!(fixture.released(), 1, "released after four seconds");
}

/// The more crashes there were, the more often the entry checked whether the kind had stopped crashing targets, so a
/// kind with many crashes must show more successful runs before its release.
#[test]
fn a_kind_that_has_crashed_many_targets_is_released_after_many_healthy_runs() {
    let (_, bad) = kinds();
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[of_kind(crashed_run(7, 0, 12), bad)]);
    fixture.crash(30, 1, &[of_kind(crashed_run(7, 0, 12), bad)]);
    let mut now = 60;
    for job in 8..16 {
        fixture.run_jobs(now, 1);
        now += 40;
        fixture.crash(now, job % 2, &[of_kind(crashed_run(job, 0, 12), bad)]);
        now += 40;
    }
    fixture.run_jobs(now, 11);
    assert_eq!(
        fixture.released(),
        0,
        "after 44 runs, at about 8 runs per crash"
    );
    fixture.run_jobs(now + 1_100, 9);
    assert_eq!(fixture.released(), 1, "after 80");
}

/// A kind that was healthy again used to stay contained at three entries, because a known suspect crashed a target at
/// a fourth one, which had released the kind.
#[test]
fn a_known_suspect_does_not_keep_its_kind_contained() {
    let (_, bad) = kinds();
    let mut fixture = Fixture::new();
    fixture.crash(10, 0, &[of_kind(crashed_run(7, 0, 12), bad)]);
    fixture.crash(30, 1, &[of_kind(crashed_run(7, 0, 11), bad)]);
    fixture.crash(50, 2, &[of_kind(crashed_run(6, 0, 12), bad)]);
    fixture.entry.join(4_990, 3, 16_000);
    fixture.crash(5_000, 3, &[of_kind(crashed_run(6, 0, 12), bad)]);
    let suspects = fixture.entry.scheduler.learned().suspects;
    let crashed = suspects[0].crashed_sides.iter().map(NodeName::as_str);
    let crashed: Vec<&str> = crashed.collect();
    assert_eq!(crashed, ["side-0", "side-1", "side-2", "side-3"]);
    fixture.entry.join(50 + RELEASED_AFTER_MS, 0, 16_000);
    assert_eq!(fixture.entry.scheduler.counters().kinds_released, 1);
}
