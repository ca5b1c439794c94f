use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use super::run_at_crash::RunAtCrash;
use crate::job::{CrashedRun, TargetCrash, TargetId, TaskKind, TaskRef};
use crate::types::{Moment, NodeName};

/// Time for which crashes are remembered: a caller without an answer submits its job again a few times, some seconds
/// apart.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of crashes that are remembered, whatever keys callers choose. The oldest are forgotten first.
const MAX_CRASHES: usize = 256;
/// Number of target crashes under a task after which it is given up regardless of other evidence: each further start
/// may cost a target and everything that runs there. A smaller number would give up unrelated tasks when many targets
/// crash.
const MAX_CRASHES_PER_TASK: usize = 5;

/// Number of similar crashes soon after the start of a task that confirm it as the cause.
const MIN_SIMILAR_EARLY: usize = 2;
/// Number of similar crashes at any time after the start that confirm a task as the cause. It is higher because later
/// crashes coincide with unrelated tasks by chance.
const MIN_SIMILAR_LATE: usize = 3;

/// Suspicion that a task crashes targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashSuspicion {
    /// The task is not suspected.
    Clear,
    /// The task ran for this time on a target that then crashed. A crash at an unknown time raises no suspicion, as
    /// such suspects could not be distinguished by their run times: isolating them would only spread them over more
    /// targets.
    Suspect { time_to_crash: Duration },
    /// The task crashes the targets on which it starts.
    Confirmed,
}

/// A remembered crash of a target.
#[derive(Clone, Debug)]
struct CrashRecord {
    /// Number in the order in which the crashes were recorded.
    number: u64,
    at: Moment,
    side: NodeName,
    /// Incarnation of the target that crashed.
    target: TargetId,
    /// Tasks that ran on the target.
    tasks: Vec<TaskRef>,
}

/// Crashes of targets that sides have reported, and the tasks that ran there.
///
/// Each entry receives all crash reports, so a job that is submitted again through another entry keeps its history.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistory {
    known: VecDeque<CrashRecord>,
    /// Runs of each task that were under way when their target crashed, in the order of the crashes.
    runs: BTreeMap<TaskRef, Vec<RunAtCrash>>,
    next_number: u64,
}

impl CrashHistory {
    /// Records a crash. Returns whether it was not known yet.
    pub(crate) fn record(&mut self, now: Moment, side: &NodeName, crash: &TargetCrash) -> bool {
        self.forget_old(now);
        if self.known.iter().any(|known| known.target == crash.target) {
            return false;
        }
        if self.known.len() == MAX_CRASHES {
            self.forget_oldest();
        }
        let tasks = crash.runs.iter().map(|crashed| crashed.run.task);
        let tasks: Vec<TaskRef> = tasks.collect();
        let known = CrashRecord {
            number: self.next_number,
            at: now - Duration::from_millis(u64::from(crash.ago_ms)),
            side: side.clone(),
            target: crash.target.clone(),
            tasks: tasks.clone(),
        };
        self.next_number += 1;
        for crashed in &crash.runs {
            let runs = self.runs.entry(crashed.run.task).or_default();
            runs.push(RunAtCrash::new(known.number, known.at, crash, crashed));
        }
        self.known.push_back(known);
        self.clear_unrelated_tasks(&tasks);
        true
    }

    /// Removes the runs of unrelated tasks from each crash that one of `tasks` is confirmed to have caused.
    fn clear_unrelated_tasks(&mut self, tasks: &[TaskRef]) {
        let explained = tasks.iter().flat_map(|task| self.crashes_caused_by(task));
        let explained: HashSet<u64> = explained.collect();
        if explained.is_empty() {
            return;
        }
        let known = self.known.iter();
        let known = known.filter(|known| explained.contains(&known.number));
        let ran_there =
            known.flat_map(|known| known.tasks.iter().map(|task| (*task, known.number)));
        let unrelated = ran_there.filter(|(task, _)| self.crashes_caused_by(task).is_empty());
        let unrelated: Vec<(TaskRef, u64)> = unrelated.collect();
        for (task, crash) in unrelated {
            self.forget_run(&task, crash);
        }
    }

    /// Returns a recorded crash with only the runs that are confirmed to have caused it, or unchanged if there are no
    /// such runs.
    pub(crate) fn without_unrelated_runs(&self, crash: &TargetCrash) -> TargetCrash {
        let mut known = self.known.iter().rev();
        let number = known.find(|known| known.target == crash.target);
        let number = number.map(|known| known.number);
        let is_cause = |run: &CrashedRun| {
            let crashes = self.crashes_caused_by(&run.run.task);
            number.is_some_and(|number| crashes.contains(&number))
        };
        let mut rest = crash.clone();
        if rest.runs.iter().any(is_cause) {
            rest.runs.retain(is_cause);
        }
        rest
    }

    /// Returns the sides whose targets a task is confirmed to have crashed, in the order of the crashes.
    pub(crate) fn crashed_sides(&self, task: &TaskRef) -> Vec<NodeName> {
        let crashes = self.crashes_caused_by(task);
        let known = self.known.iter();
        let caused = known.filter(|known| crashes.contains(&known.number));
        caused.map(|known| known.side.clone()).collect()
    }

    /// Returns the numbers of the crashes that a task is confirmed to have caused. Its runs at these crashes are
    /// conclusive, and the times of the crashes are known.
    fn crashes_caused_by(&self, task: &TaskRef) -> Vec<u64> {
        let runs = self.runs.get(task).map(Vec::as_slice).unwrap_or_default();
        let conclusive = self.conclusive_runs(task, runs);
        let timed = conclusive.into_iter().filter(|run| run.is_timed);
        timed.map(|run| run.crash_number).collect()
    }

    /// Returns how strongly a task is suspected.
    pub(crate) fn suspicion(&self, task: &TaskRef) -> CrashSuspicion {
        let Some(runs) = self.runs.get(task) else {
            return CrashSuspicion::Clear;
        };
        if runs.len() >= MAX_CRASHES_PER_TASK || !self.conclusive_runs(task, runs).is_empty() {
            return CrashSuspicion::Confirmed;
        }
        let timed = runs.iter().rfind(|run| run.is_timed);
        timed.map_or(CrashSuspicion::Clear, |run| CrashSuspicion::Suspect {
            time_to_crash: run.time_to_crash,
        })
    }

    /// Returns whether a task is confirmed to crash targets.
    pub(crate) fn is_confirmed(&self, task: &TaskRef) -> bool {
        self.suspicion(task) == CrashSuspicion::Confirmed
    }

    /// Returns how long a suspect ran until its last target crashed, or `None` if the task is no suspect.
    pub(crate) fn suspect_time_to_crash(&self, task: &TaskRef) -> Option<Duration> {
        match self.suspicion(task) {
            CrashSuspicion::Suspect { time_to_crash } => Some(time_to_crash),
            CrashSuspicion::Clear | CrashSuspicion::Confirmed => None,
        }
    }

    /// Returns how long a task ran until each of its targets crashed, in milliseconds.
    pub(crate) fn times_to_crash_ms(&self, task: &TaskRef) -> Vec<u32> {
        let runs = self.runs.get(task).into_iter().flatten();
        runs.map(|run| run.time_to_crash.as_millis() as u32)
            .collect()
    }

    /// Returns the time of the first remembered crash of a target under a task.
    pub(crate) fn first_crash(&self, task: &TaskRef) -> Option<Moment> {
        let runs = self.runs.get(task)?;
        runs.iter().map(|run| run.crashed_at).min()
    }

    /// Returns whether no crash is remembered.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets crashes that are older than [`CRASH_RETENTION`].
    pub(crate) fn forget_old(&mut self, now: Moment) {
        let is_old = |known: &CrashRecord| now.since(known.at) > CRASH_RETENTION;
        while self.known.front().is_some_and(is_old) {
            self.forget_oldest();
        }
    }

    /// Returns the runs of a task that lasted about the same time until their targets crashed, if there are too many of
    /// them for a coincidence.
    fn conclusive_runs<'a>(&self, task: &TaskRef, runs: &'a [RunAtCrash]) -> Vec<&'a RunAtCrash> {
        let begun: Vec<&RunAtCrash> = runs.iter().filter(|run| run.has_begun).collect();
        let is_conclusive = |run: &&&RunAtCrash| {
            let similar = begun.iter().filter(|other| run.is_similar(other));
            if similar.clone().count() >= MIN_SIMILAR_LATE {
                return true;
            }
            let early: Vec<&RunAtCrash> =
                similar.copied().filter(|other| other.is_early()).collect();
            let is_contested = |other: &&RunAtCrash| self.is_contested(task, other.crash_number);
            run.is_early()
                && early.len() >= MIN_SIMILAR_EARLY
                && !early.iter().any(is_contested)
                && !self.has_rival_kind(run.kind, &early)
        };
        begun.iter().filter(is_conclusive).copied().collect()
    }

    /// Returns whether tasks of another job may equally have caused a crash, because they ran for about the same time
    /// until another target crashed.
    fn is_contested(&self, task: &TaskRef, crash: u64) -> bool {
        let tasks = self.crash(crash).into_iter().flat_map(|known| &known.tasks);
        let mut others = tasks.filter(|other| other.job != task.job);
        others.any(|other| self.has_similar_early_run(other, crash))
    }

    /// Returns whether the run of a task at this crash was early and lasted about as long as another early run, of the
    /// same task or another task of its step, until an independent crash.
    fn has_similar_early_run(&self, task: &TaskRef, crash: u64) -> bool {
        let runs = self.runs.get(task).into_iter().flatten();
        let Some(run_at_crash) = runs.into_iter().find(|run| run.crash_number == crash) else {
            return false;
        };
        let first = TaskRef { index: 0, ..*task };
        let last = TaskRef {
            index: u16::MAX,
            ..*task
        };
        let of_step = self.runs.range(first..=last).flat_map(|(_, runs)| runs);
        let mut early = of_step.filter(|run| run.is_early() && run.is_independent(run_at_crash));
        run_at_crash.is_early() && early.any(|run| run.is_similar(run_at_crash))
    }

    /// Returns whether another kind explains the crashes under these runs of one kind equally well. Runs of the other
    /// kind, of any job, must have lasted until each of these crashes with no larger differences in time, and the other
    /// kind must explain at least as many of all remembered crashes.
    fn has_rival_kind(&self, kind: TaskKind, runs: &[&RunAtCrash]) -> bool {
        let Some(first) = runs.first() else {
            return false;
        };
        let explained = self.crashes_explained_by(first).len();
        let max_difference = runs
            .iter()
            .map(|run| run.time_to_crash.abs_diff(first.time_to_crash))
            .max();
        let early_runs = self.early_runs(first.crash_number);
        let mut rivals = early_runs.filter(|run| run.kind != kind);
        rivals.any(|rival| {
            let mut differences = runs
                .iter()
                .map(|run| self.smallest_difference(rival, run.crash_number));
            let is_close = differences.all(|one| one.is_some() && one <= max_difference);
            is_close && self.crashes_explained_by(rival).len() >= explained
        })
    }

    /// Returns the smallest difference between the duration of `run` and those of early runs of the same kind at a
    /// crash, or `None` if there are no such runs.
    fn smallest_difference(&self, run: &RunAtCrash, crash: u64) -> Option<Duration> {
        let early = self.early_runs(crash);
        let of_kind = early.filter(|other| other.kind == run.kind);
        of_kind
            .map(|other| other.time_to_crash.abs_diff(run.time_to_crash))
            .min()
    }

    /// Returns the numbers of the crashes at which an early run of the same kind had lasted about as long as `run`.
    fn crashes_explained_by(&self, run: &RunAtCrash) -> Vec<u64> {
        let is_like = |other: &RunAtCrash| other.kind == run.kind && other.is_similar(run);
        let numbers = self.known.iter().map(|known| known.number);
        let explained = numbers.filter(|number| self.early_runs(*number).any(is_like));
        explained.collect()
    }

    /// Returns the runs that had started shortly before a crash.
    fn early_runs(&self, crash: u64) -> impl Iterator<Item = &RunAtCrash> {
        let tasks = self.crash(crash).into_iter().flat_map(|known| &known.tasks);
        let runs = tasks.filter_map(|task| self.runs.get(task)).flatten();
        runs.filter(move |run| run.crash_number == crash && run.is_early())
    }

    fn crash(&self, number: u64) -> Option<&CrashRecord> {
        let index = self.known.partition_point(|known| known.number < number);
        self.known.get(index).filter(|known| known.number == number)
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.known.pop_front() else {
            return;
        };
        for task in oldest.tasks {
            self.forget_run(&task, oldest.number);
        }
    }

    fn forget_run(&mut self, task: &TaskRef, crash: u64) {
        let Some(runs) = self.runs.get_mut(task) else {
            return;
        };
        runs.retain(|run| run.crash_number != crash);
        if runs.is_empty() {
            self.runs.remove(task);
        }
    }
}
