use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use super::run_at_crash::RunAtCrash;
use crate::job::{CrashedRun, TargetCrash, TargetId, TaskKind, TaskRef};
use crate::types::{Moment, NodeName};

/// For how long crashes are remembered: a caller without an answer comes again a few times, some seconds apart.
const CRASHES_REMEMBERED: Duration = Duration::from_secs(60);
/// The most crashes that are remembered, whatever keys callers choose; the oldest are forgotten first.
const MAX_CRASHES: usize = 256;
/// A task under which so many targets have crashed is given up, whatever else speaks for it: each further start may
/// cost a target and all that runs there. Fewer would give up innocent ones in a storm of crashes.
const MOST_CRASHES: usize = 5;

/// So many alike crashes soon after its start tell that a task did it.
const ALIKE_IF_SOON: usize = 2;
/// So many tell it for later ones, which innocent tasks have by chance.
const ALIKE_IF_LATER: usize = 3;

/// What crashes of targets say of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashStanding {
    /// Nothing.
    Clear,
    /// It ran for this time on a target that crashed then. After a crash at an unknown time nothing tells
    /// suspects that are like each other: they are not kept apart, which would only spread them over more targets.
    Suspect { ran: Duration },
    /// It crashes the targets on which it starts.
    Guilty,
}

/// A crash that is remembered.
#[derive(Clone, Debug)]
struct KnownCrash {
    number: u64,
    at: Moment,
    side: NodeName,
    target: TargetId,
    tasks: Vec<TaskRef>,
}

/// Crashes of targets, as sides told of them, and the tasks that ran there.
///
/// Each entry hears of all crashes, so that a job that comes again at another entry does not begin at nought.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistory {
    known: VecDeque<KnownCrash>,
    /// The runs of each task whose targets crashed, in the order of the crashes.
    runs: BTreeMap<TaskRef, Vec<RunAtCrash>>,
    next_number: u64,
}

impl CrashHistory {
    /// Takes a crash in; returns whether it is news.
    pub(crate) fn note(&mut self, now: Moment, side: &NodeName, crash: &TargetCrash) -> bool {
        self.forget_old(now);
        if self.known.iter().any(|known| known.target == crash.target) {
            return false;
        }
        if self.known.len() == MAX_CRASHES {
            self.forget_oldest();
        }
        let tasks = crash.runs.iter().map(|crashed| crashed.run.task);
        let tasks: Vec<TaskRef> = tasks.collect();
        let known = KnownCrash {
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
        self.clear_bystanders(&tasks);
        true
    }

    /// A crash that one of these tasks is known to have brought about says nothing of what ran beside it.
    fn clear_bystanders(&mut self, tasks: &[TaskRef]) {
        let explained = tasks.iter().flat_map(|task| self.brought_about_by(task));
        let explained: HashSet<u64> = explained.collect();
        if explained.is_empty() {
            return;
        }
        let known = self.known.iter();
        let known = known.filter(|known| explained.contains(&known.number));
        let beside = known.flat_map(|known| known.tasks.iter().map(|task| (*task, known.number)));
        let beside = beside.filter(|(task, _)| self.brought_about_by(task).is_empty());
        let beside: Vec<(TaskRef, u64)> = beside.collect();
        for (task, crash) in beside {
            self.forget_run(&task, crash);
        }
    }

    /// A crash that has been noted, without what ran beside the tasks that are known to have brought it about; as it is if
    /// none are.
    pub(crate) fn without_bystanders(&self, crash: &TargetCrash) -> TargetCrash {
        let mut known = self.known.iter().rev();
        let number = known.find(|known| known.target == crash.target);
        let number = number.map(|known| known.number);
        let is_cause = |run: &CrashedRun| {
            let crashes = self.brought_about_by(&run.run.task);
            number.is_some_and(|number| crashes.contains(&number))
        };
        let mut rest = crash.clone();
        if rest.runs.iter().any(is_cause) {
            rest.runs.retain(is_cause);
        }
        rest
    }

    /// The sides whose targets a task crashed for certain, in the order of the crashes.
    pub(crate) fn crashed_sides(&self, task: &TaskRef) -> Vec<NodeName> {
        let crashes = self.brought_about_by(task);
        let known = self.known.iter();
        let own = known.filter(|known| crashes.contains(&known.number));
        own.map(|known| known.side.clone()).collect()
    }

    /// The crashes that a task brought about for certain: they tell of it, and their times are known.
    fn brought_about_by(&self, task: &TaskRef) -> Vec<u64> {
        let runs = self.runs.get(task).map(Vec::as_slice).unwrap_or_default();
        let told = self.telling(task, runs);
        let timed = told.into_iter().filter(|run| run.is_timed);
        timed.map(|run| run.crash).collect()
    }

    /// What is known of a task.
    pub(crate) fn standing(&self, task: &TaskRef) -> CrashStanding {
        let Some(runs) = self.runs.get(task) else {
            return CrashStanding::Clear;
        };
        if runs.len() >= MOST_CRASHES || !self.telling(task, runs).is_empty() {
            return CrashStanding::Guilty;
        }
        let timed = runs.iter().rfind(|run| run.is_timed);
        timed.map_or(CrashStanding::Clear, |run| CrashStanding::Suspect {
            ran: run.ran,
        })
    }

    /// Whether a task is known to crash targets.
    pub(crate) fn is_guilty(&self, task: &TaskRef) -> bool {
        self.standing(task) == CrashStanding::Guilty
    }

    /// How long a suspect ran until its last target crashed; none if it is no suspect.
    pub(crate) fn suspect_ran(&self, task: &TaskRef) -> Option<Duration> {
        match self.standing(task) {
            CrashStanding::Suspect { ran } => Some(ran),
            CrashStanding::Clear | CrashStanding::Guilty => None,
        }
    }

    /// How long a task ran until each of its targets crashed, in milliseconds.
    pub(crate) fn ran_ms(&self, task: &TaskRef) -> Vec<u32> {
        let runs = self.runs.get(task).into_iter().flatten();
        runs.map(|run| run.ran.as_millis() as u32).collect()
    }

    /// When a target crashed under a task for the first time, as far as that is remembered.
    pub(crate) fn first_crash(&self, task: &TaskRef) -> Option<Moment> {
        let runs = self.runs.get(task)?;
        runs.iter().map(|run| run.crashed).min()
    }

    /// Whether no crash is remembered.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets what happened too long ago.
    pub(crate) fn forget_old(&mut self, now: Moment) {
        let is_old = |known: &KnownCrash| now.since(known.at) > CRASHES_REMEMBERED;
        while self.known.front().is_some_and(is_old) {
            self.forget_oldest();
        }
    }

    /// The runs of a task that went on for about the same time until their targets crashed, if they are so many that
    /// chance does not explain it.
    fn telling<'a>(&self, task: &TaskRef, runs: &'a [RunAtCrash]) -> Vec<&'a RunAtCrash> {
        let begun: Vec<&RunAtCrash> = runs.iter().filter(|run| run.has_begun).collect();
        let is_told = |run: &&&RunAtCrash| {
            let alike = begun.iter().filter(|other| run.is_alike(other));
            if alike.clone().count() >= ALIKE_IF_LATER {
                return true;
            }
            let soon: Vec<&RunAtCrash> = alike.copied().filter(|other| other.is_soon()).collect();
            let is_contested = |other: &&RunAtCrash| self.is_contested(task, other.crash);
            run.is_soon()
                && soon.len() >= ALIKE_IF_SOON
                && !soon.iter().any(is_contested)
                && !self.has_rival_kind(run.kind, &soon)
        };
        begun.iter().filter(is_told).copied().collect()
    }

    /// Whether tasks of another job may as well have brought about a crash: they ran for about the same time until
    /// another target crashed.
    fn is_contested(&self, task: &TaskRef, crash: u64) -> bool {
        let tasks = self.crash(crash).into_iter().flat_map(|known| &known.tasks);
        let mut others = tasks.filter(|other| other.job != task.job);
        others.any(|other| self.has_pattern(other, crash))
    }

    /// Whether a task ran for about as long until this crash as it or one like it did until another.
    fn has_pattern(&self, task: &TaskRef, crash: u64) -> bool {
        let own = self.runs.get(task).into_iter().flatten();
        let Some(own) = own.into_iter().find(|run| run.crash == crash) else {
            return false;
        };
        let first = TaskRef { index: 0, ..*task };
        let last = TaskRef {
            index: u16::MAX,
            ..*task
        };
        let like = self.runs.range(first..=last).flat_map(|(_, runs)| runs);
        let mut soon = like.filter(|run| run.is_soon() && run.is_apart(own));
        own.is_soon() && soon.any(|run| run.is_alike(own))
    }

    /// Whether another kind explains the crashes under these runs of one kind as well: its own runs, of whatever jobs, went on
    /// until each of them for times that differ no more, and it explains no fewer of all crashes that are remembered.
    fn has_rival_kind(&self, kind: TaskKind, runs: &[&RunAtCrash]) -> bool {
        let Some(first) = runs.first() else {
            return false;
        };
        let explained = self.explained_by(first).len();
        let widest = runs.iter().map(|run| run.ran.abs_diff(first.ran)).max();
        let beside = self.soon_runs(first.crash);
        let mut rivals = beside.filter(|run| run.kind != kind);
        rivals.any(|rival| {
            let mut nearest = runs.iter().map(|run| self.nearest(rival, run.crash));
            let is_close = nearest.all(|off| off.is_some() && off <= widest);
            is_close && self.explained_by(rival).len() >= explained
        })
    }

    /// By how much the runs of a run's kind at a crash differ from it in time, at the least; none if there are none.
    fn nearest(&self, run: &RunAtCrash, crash: u64) -> Option<Duration> {
        let soon = self.soon_runs(crash);
        let of_kind = soon.filter(|other| other.kind == run.kind);
        of_kind.map(|other| other.ran.abs_diff(run.ran)).min()
    }

    /// The numbers of the crashes at which runs of a run's kind had gone on for about as long as it had.
    fn explained_by(&self, run: &RunAtCrash) -> Vec<u64> {
        let is_like = |other: &RunAtCrash| other.kind == run.kind && other.is_alike(run);
        let numbers = self.known.iter().map(|known| known.number);
        let explained = numbers.filter(|number| self.soon_runs(*number).any(is_like));
        explained.collect()
    }

    /// The runs that had begun just before a crash.
    fn soon_runs(&self, crash: u64) -> impl Iterator<Item = &RunAtCrash> {
        let tasks = self.crash(crash).into_iter().flat_map(|known| &known.tasks);
        let runs = tasks.filter_map(|task| self.runs.get(task)).flatten();
        runs.filter(move |run| run.crash == crash && run.is_soon())
    }

    fn crash(&self, number: u64) -> Option<&KnownCrash> {
        let place = self.known.partition_point(|known| known.number < number);
        self.known.get(place).filter(|known| known.number == number)
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
        runs.retain(|run| run.crash != crash);
        if runs.is_empty() {
            self.runs.remove(task);
        }
    }
}
