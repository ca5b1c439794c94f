use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::job::{CrashedRun, TargetCrash, TargetId, TaskRef, ran_alike};
use crate::types::Moment;

/// For how long crashes are remembered: a caller without an answer comes again a few times, some seconds apart.
const CRASHES_REMEMBERED: Duration = Duration::from_secs(60);
/// The most crashes that are remembered, whatever keys callers choose; the oldest are forgotten first.
const MAX_CRASHES: usize = 256;
/// A task under which so many targets have crashed is given up, whatever else speaks for it: each further start may
/// cost a target and all that runs there. Fewer would give up innocent ones in a storm of crashes.
const MOST_CRASHES: usize = 5;

/// A target that crashes so soon after a start may well have been crashed by it: runs of innocent tasks are seldom
/// that young when their target crashes for the second time.
pub(crate) const SOON: Duration = Duration::from_millis(100);
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

/// A run whose target crashed.
#[derive(Clone, Copy, Debug)]
struct RunAtCrash {
    ran: Duration,
    /// Whether its target is known to have started it.
    has_begun: bool,
    /// Whether it may have ended before the crash.
    may_have_ended: bool,
    /// Whether the time of the crash is known.
    is_timed: bool,
}

impl RunAtCrash {
    fn new(crash: &TargetCrash, crashed: &CrashedRun) -> Self {
        Self {
            ran: crashed.ran(),
            has_begun: crashed.has_begun,
            may_have_ended: crashed.may_have_ended,
            is_timed: !crash.was_silent,
        }
    }

    fn is_soon(&self) -> bool {
        self.is_timed && !self.may_have_ended && self.ran <= SOON
    }
}

/// A crash that is remembered.
#[derive(Clone, Debug)]
struct KnownCrash {
    at: Moment,
    target: TargetId,
    tasks: Vec<TaskRef>,
}

/// Crashes of targets, as sides told of them, and the tasks that ran there.
///
/// Each entry hears of all crashes, so that a job that comes again at another entry does not begin at nought.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashMemory {
    known: VecDeque<KnownCrash>,
    /// The runs of each task whose targets crashed, in the order of the crashes.
    runs: HashMap<TaskRef, Vec<RunAtCrash>>,
}

impl CrashMemory {
    /// Takes a crash in; returns whether it is news.
    pub(crate) fn note(&mut self, now: Moment, crash: &TargetCrash) -> bool {
        self.forget_old(now);
        if self.known.iter().any(|known| known.target == crash.target) {
            return false;
        }
        if self.known.len() == MAX_CRASHES {
            self.forget_oldest();
        }
        for crashed in &crash.runs {
            let runs = self.runs.entry(crashed.run.task).or_default();
            runs.push(RunAtCrash::new(crash, crashed));
        }
        let tasks = crash.runs.iter().map(|crashed| crashed.run.task);
        let ago = Duration::from_millis(u64::from(crash.ago_ms));
        self.known.push_back(KnownCrash {
            at: now - ago,
            target: crash.target.clone(),
            tasks: tasks.collect(),
        });
        true
    }

    /// What is known of a task.
    pub(crate) fn standing(&self, task: &TaskRef) -> CrashStanding {
        let Some(runs) = self.runs.get(task) else {
            return CrashStanding::Clear;
        };
        if runs.len() >= MOST_CRASHES || tell_alike(runs) {
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

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.known.pop_front() else {
            return;
        };
        for task in oldest.tasks {
            let Some(runs) = self.runs.get_mut(&task) else {
                continue;
            };
            runs.remove(0);
            if runs.is_empty() {
                self.runs.remove(&task);
            }
        }
    }
}

/// Whether so many runs that had begun went on for about the same time until their targets crashed that chance
/// does not explain it.
fn tell_alike(runs: &[RunAtCrash]) -> bool {
    let begun: Vec<&RunAtCrash> = runs.iter().filter(|run| run.has_begun).collect();
    let is_alike = |first: &RunAtCrash, other: &RunAtCrash| ran_alike(first.ran, other.ran);
    let is_told = |run: &&RunAtCrash| {
        let alike = begun.iter().filter(|other| is_alike(run, other));
        let alike_soon = alike.clone().filter(|other| other.is_soon());
        let is_told_soon = run.is_soon() && alike_soon.count() >= ALIKE_IF_SOON;
        is_told_soon || alike.count() >= ALIKE_IF_LATER
    };
    begun.iter().any(is_told)
}
