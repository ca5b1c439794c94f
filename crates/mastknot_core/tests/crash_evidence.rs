//! What crashes say of the tasks that ran there, and of their kinds.

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

/// A run of a job's task that was under way at a crash for this time.
fn ran(job: u64, index: u16, ran_ms: u32) -> CrashedRun {
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

struct Told {
    entry: Entry,
    crashes: u64,
}

impl Told {
    fn new() -> Self {
        let entry = Entry::with_sides(&[16_000; SIDES as usize]);
        Self { entry, crashes: 0 }
    }

    /// A side tells that its target has crashed.
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

    /// Jobs of the contained kind do their work from this time on, one each 100 ms, while all sides are heard.
    fn do_work(&mut self, ms: u64, jobs: u64) {
        for ms in (0..jobs).map(|number| ms + 100 * number) {
            let job = imaged(1_000 + ms, TASKS_A_JOB);
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

    /// Whether a job that comes in is failed at once.
    fn is_failed(&mut self, ms: u64, id: u64) -> bool {
        let effects = self.entry.submit(ms, id, job(id, 1, 60), 2_000);
        answers(&effects) == [(id, FAILED)]
    }
}

/// What a caller saw: a job was failed for crashes that another job had brought about beside it.
#[test]
fn what_ran_beside_a_task_that_crashes_targets_is_cleared() {
    let mut told = Told::new();
    told.crash(10, 0, &[ran(7, 0, 12), ran(8, 0, 30)]);
    told.crash(40, 1, &[ran(7, 0, 11)]);
    let of_other_kind = of_kind(ran(9, 0, 12), kinds().1);
    told.crash(80, 2, &[of_other_kind, ran(8, 0, 28)]);
    assert!(told.is_failed(90, 7));
    assert!(!told.is_failed(91, 8));
}

/// Two tasks of two jobs ran alike in the same two crashes: a third crash tells which of them it was.
#[test]
fn two_jobs_that_may_both_have_crashed_the_same_targets_are_told_apart_by_the_third() {
    let mut told = Told::new();
    told.crash(10, 0, &[ran(7, 0, 14), ran(8, 0, 31)]);
    let effects = told.crash(50, 1, &[ran(7, 0, 12), ran(8, 0, 29)]);
    assert_eq!(answers(&effects), []);
    told.crash(80, 2, &[ran(7, 0, 13)]);
    assert!(told.is_failed(90, 7));
    assert!(!told.is_failed(91, 8));
}

/// Tasks of a wide job that began together have the same age when two targets crash together.
#[test]
fn tasks_that_began_together_do_not_hide_the_one_that_crashes_targets() {
    let mut told = Told::new();
    told.crash(10, 0, &[ran(7, 0, 10), ran(9, 1, 40)]);
    told.crash(22, 1, &[ran(7, 0, 10), ran(9, 2, 46)]);
    assert!(told.is_failed(30, 7));
    assert!(!told.is_failed(31, 9));
}

/// A run that had gone on for as long as expected may have done its work, and the word of that was lost.
#[test]
fn two_crashes_under_runs_that_may_have_ended_tell_nothing() {
    let late = |ran_ms| CrashedRun {
        may_have_ended: true,
        ..ran(7, 0, ran_ms)
    };
    let mut told = Told::new();
    told.crash(10, 0, &[late(38)]);
    told.crash(60, 1, &[late(32)]);
    assert!(!told.is_failed(70, 7));
    told.crash(120, 2, &[late(35)]);
    assert!(told.is_failed(130, 7), "three alike tell");
}

fn of_kind(run: CrashedRun, kind: TaskKind) -> CrashedRun {
    CrashedRun { kind, ..run }
}

/// The kind of the tasks of [`job`], and that of [`imaged`].
fn kinds() -> (TaskKind, TaskKind) {
    let plain = TaskKind::new("queue", None);
    (plain, TaskKind::new("queue", Some(IMAGE)))
}

fn imaged(id: u64, tasks: u16) -> JobRequest {
    let mut request = job(id, tasks, 60);
    request.steps[0].image = Some(Arc::from(IMAGE));
    request
}

/// A sound task that stood on two targets which tasks of another kind crashed, each a new one, was failed and its kind contained.
#[test]
fn a_task_is_not_taken_for_what_the_tasks_of_another_kind_have_done() {
    let (sound, bad) = kinds();
    let sound_run = |job, ran_ms| of_kind(ran(job, 0, ran_ms), sound);
    let bad_run = |job| of_kind(ran(job, 0, 10), bad);
    let mut told = Told::new();
    told.crash(10, 0, &[bad_run(7), sound_run(1, 18)]);
    told.crash(21, 1, &[bad_run(8), sound_run(1, 9)]);
    assert_eq!(told.entry.scheduler.counters().kinds_contained, 0);
    assert!(!told.is_failed(22, 1));
    told.crash(50, 2, &[bad_run(9), sound_run(2, 40)]);
    told.crash(70, 3, &[bad_run(9), sound_run(2, 15)]);
    let contained = told.entry.scheduler.learned().suspects;
    let contained: Vec<TaskKind> = contained.iter().map(|suspect| suspect.kind).collect();
    assert_eq!(contained, [bad]);
    assert!(told.is_failed(80, 9));
    assert!(!told.is_failed(81, 1));
}

/// Bystanders of another kind do not hide a task that crashes targets where its own kind explains more crashes.
#[test]
fn a_kind_that_explains_fewer_crashes_is_no_rival() {
    let (sound, bad) = kinds();
    let sound_run = |job, ran_ms| of_kind(ran(job, 0, ran_ms), sound);
    let bad_run = |job| of_kind(ran(job, 0, 10), bad);
    let mut told = Told::new();
    told.crash(10, 0, &[bad_run(6), sound_run(1, 60)]);
    told.crash(30, 1, &[bad_run(7), sound_run(2, 8)]);
    told.crash(50, 2, &[bad_run(7), sound_run(3, 12)]);
    assert_eq!(told.entry.scheduler.counters().kinds_contained, 1);
    assert!(told.is_failed(60, 7));
}

/// Nor do they where their times differ more than those of the task.
#[test]
fn a_kind_whose_times_differ_more_is_no_rival() {
    let (sound, bad) = kinds();
    let sound_run = |job, ran_ms| of_kind(ran(job, 0, ran_ms), sound);
    let bad_run = |job| of_kind(ran(job, 0, 10), bad);
    let mut told = Told::new();
    told.crash(10, 0, &[bad_run(7), sound_run(1, 7)]);
    told.crash(30, 1, &[bad_run(7), sound_run(2, 16)]);
    assert_eq!(told.entry.scheduler.counters().kinds_contained, 1);
    assert!(told.is_failed(40, 7));
}

/// What a kind has crashed is its own: the other kinds lose no further target to it.
#[test]
fn the_targets_that_a_kind_has_crashed_are_the_first_of_its_part() {
    let (_, bad) = kinds();
    for (first, second) in
        (0..SIDES).flat_map(|first| (0..first).map(move |second| (first, second)))
    {
        let mut told = Told::new();
        told.crash(10, first, &[of_kind(ran(7, 0, 12), bad)]);
        told.crash(30, second, &[of_kind(ran(7, 0, 11), bad)]);
        let effects = told.entry.submit(40, 1, job(8, 32, 60), 2_000);
        let used: Vec<u64> = starts(&effects).iter().map(|(side, _)| *side).collect();
        assert!(!used.is_empty());
        let is_own = |side: &u64| *side == first || *side == second;
        assert!(!used.iter().any(is_own), "{first} and {second}: {used:?}");
        let effects = told.entry.submit(41, 2, imaged(9, 32), 2_000);
        let used: Vec<u64> = starts(&effects).iter().map(|(side, _)| *side).collect();
        assert!(used.iter().any(is_own), "{first} and {second}: {used:?}");
    }
}

/// Runs that had begun before a kind was contained crashed targets that stayed with the others, who lost as many sound ones to the kind.
#[test]
fn what_a_contained_kind_crashes_then_is_of_its_part_too() {
    let (_, bad) = kinds();
    let bad_run = |job, ran_ms| of_kind(ran(job, 0, ran_ms), bad);
    for third in 2..SIDES {
        let mut told = Told::new();
        told.crash(10, 0, &[bad_run(7, 12)]);
        told.crash(30, 1, &[bad_run(7, 11)]);
        told.crash(35, third, &[bad_run(9, 12)]);
        let effects = told.entry.submit(40, 1, job(8, 32, 60), 2_000);
        let used: Vec<u64> = starts(&effects).iter().map(|(side, _)| *side).collect();
        assert!(!used.is_empty());
        assert!(!used.contains(&third), "{third}: {used:?}");
    }
}

/// What callers saw: after a restart of all processes jobs of sound kinds were refused. A contained kind got other targets than before,
/// which it went on to crash, while those that it had crashed were still gone.
#[test]
fn what_a_kind_had_crashed_outlasts_the_processes() {
    let (_, bad) = kinds();
    for own in 0..SIDES {
        let mut told = Told::new();
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
        told.entry.scheduler.step(at(10), event);
        assert_eq!(told.entry.scheduler.learned().suspects, [suspect]);
        let effects = told.entry.submit(20, 1, job(8, 32, 60), 2_000);
        let used = starts(&effects);
        assert!(used.iter().all(|(side, _)| *side != own), "{own}: {used:?}");
        let effects = told.entry.submit(21, 2, imaged(9, 4), 2_000);
        let used = starts(&effects);
        assert!(used.iter().all(|(side, _)| *side == own), "{own}: {used:?}");
        assert!(!used.is_empty());
    }
}

/// When a kind that was contained at this time has been released.
const RELEASED_AFTER_MS: u64 = 10_001;

/// An entry at which a kind was contained and released, and job 6 had crashed a target like the others of the kind.
fn released() -> (Told, TaskKind, u64) {
    let (_, bad) = kinds();
    let mut told = Told::new();
    told.crash(10, 0, &[of_kind(ran(7, 0, 12), bad)]);
    told.crash(30, 1, &[of_kind(ran(7, 0, 11), bad)]);
    told.crash(50, 2, &[of_kind(ran(6, 0, 12), bad)]);
    assert_eq!(told.entry.scheduler.counters().kinds_contained, 1);
    let now = 50 + RELEASED_AFTER_MS;
    for side in 0..SIDES {
        told.entry.join(now, side, 16_000);
    }
    assert_eq!(told.entry.scheduler.counters().kinds_released, 1);
    (told, bad, now)
}

/// A job that had crashed a target before the release says nothing of the new jobs of its kind.
#[test]
fn a_known_suspect_does_not_contain_its_kind_again() {
    let (mut told, bad, now) = released();
    let beside = of_kind(ran(11, 0, 15), bad);
    told.crash(now + 10, 3, &[of_kind(ran(6, 0, 12), bad), beside]);
    assert_eq!(told.entry.scheduler.counters().kinds_contained, 1);
    assert!(told.is_failed(now + 20, 6));

    let (mut told, bad, now) = released();
    told.crash(now + 10, 3, &[of_kind(ran(10, 0, 12), bad)]);
    assert_eq!(told.entry.scheduler.counters().kinds_contained, 2);
}

/// An entry that had released a kind and contained it again kept other targets for it than those that it had crashed.
#[test]
fn a_kind_that_is_contained_again_has_what_it_had_crashed_before() {
    let (mut told, bad, now) = released();
    told.crash(now + 10, 5, &[of_kind(ran(10, 0, 12), bad)]);
    let suspects = told.entry.scheduler.learned().suspects;
    let crashed: Vec<&str> = suspects[0]
        .crashed_sides
        .iter()
        .map(NodeName::as_str)
        .collect();
    assert_eq!(crashed, ["side-0", "side-1", "side-2", "side-5"]);
}

/// A kind was released in the middle of it: it had shown no more runs without a crash than it does by chance.
#[test]
fn a_kind_of_which_few_crashes_are_known_is_not_released_by_chance() {
    let (_, bad) = kinds();
    let mut told = Told::new();
    for (job, ms) in [(7, 10), (7, 30), (8, 50), (9, 70)] {
        told.crash(ms, job - 7, &[of_kind(ran(job, 0, 12), bad)]);
    }
    told.do_work(80, 11);
    assert_eq!(told.released(), 0, "after 44 runs in a second");
    told.do_work(1_180, 30);
    assert_eq!(told.released(), 1, "it is after four seconds");
}

/// The more crashes there were, the more often the question was put whether it has ceased to crash targets.
#[test]
fn a_kind_that_has_crashed_many_targets_is_released_after_many_sound_runs() {
    let (_, bad) = kinds();
    let mut told = Told::new();
    told.crash(10, 0, &[of_kind(ran(7, 0, 12), bad)]);
    told.crash(30, 1, &[of_kind(ran(7, 0, 12), bad)]);
    let mut now = 60;
    for job in 8..16 {
        told.do_work(now, 1);
        now += 40;
        told.crash(now, job % 2, &[of_kind(ran(job, 0, 12), bad)]);
        now += 40;
    }
    told.do_work(now, 11);
    assert_eq!(told.released(), 0, "after 44 runs of some 8 a crash");
    told.do_work(now + 1_100, 9);
    assert_eq!(told.released(), 1, "after 80");
}

/// A kind that was sound again stayed contained at three entries: a known suspect crashed a target at the fourth, which had released it.
#[test]
fn a_known_suspect_does_not_keep_its_kind_contained() {
    let (_, bad) = kinds();
    let mut told = Told::new();
    told.crash(10, 0, &[of_kind(ran(7, 0, 12), bad)]);
    told.crash(30, 1, &[of_kind(ran(7, 0, 11), bad)]);
    told.crash(50, 2, &[of_kind(ran(6, 0, 12), bad)]);
    told.entry.join(4_990, 3, 16_000);
    told.crash(5_000, 3, &[of_kind(ran(6, 0, 12), bad)]);
    let suspects = told.entry.scheduler.learned().suspects;
    let crashed = suspects[0].crashed_sides.iter().map(NodeName::as_str);
    let crashed: Vec<&str> = crashed.collect();
    assert_eq!(crashed, ["side-0", "side-1", "side-2", "side-3"]);
    told.entry.join(50 + RELEASED_AFTER_MS, 0, 16_000);
    assert_eq!(told.entry.scheduler.counters().kinds_released, 1);
}
