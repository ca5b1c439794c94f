use std::time::Duration;

use indexmap::IndexMap;

use super::owners::OwnerKey;
use crate::job::{Capacity, EndOfRun, RunId, TaskKind, are_similar_run_times, trial_time};
use crate::types::Moment;

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The target was told to start it.
    Ordered,
    /// The order got no answer.
    Unconfirmed {
        /// When that was found.
        since: Moment,
    },
    /// It is known to run.
    Running,
    /// The target was told to stop it.
    Stopping {
        /// What its end is called unless the target says otherwise.
        end: EndOfRun,
        /// When the first order to stop was sent.
        first: Moment,
        /// When the last order to stop was sent.
        sent: Moment,
        /// How often it was sent.
        times: u32,
        /// When the target acknowledged one.
        acknowledged: Option<Moment>,
    },
}

/// A run that takes room at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The entry that ordered it.
    pub(crate) owner: OwnerKey,
    /// What it takes.
    pub room: Capacity,
    /// A guess of its time, in milliseconds.
    pub estimate_ms: u32,
    /// The work that its entry's hall was charged with, in thousandths of the target times milliseconds.
    pub(crate) charged: u64,
    /// When it was ordered.
    pub since: Moment,
    /// Where it stands.
    pub phase: RunPhase,
    /// Its progress in percent.
    pub percent: u8,
    /// When the progress last changed.
    pub progressed: Moment,
    /// The progress that the target's pace already includes, in percent.
    pub paced_percent: u8,
    /// When that progress was seen.
    pub paced: Moment,
    /// What its task has in common with others that run the same program.
    pub kind: TaskKind,
    /// After what time targets crashed under tasks of its kind, if the kind is contained.
    pub kind_crashed_after: Option<Duration>,
    /// After what time a target crashed under its task before, if one has.
    pub crashed_after: Option<Duration>,
    /// How often in a row the target did not list it although it should.
    pub missed: u32,
}

impl Run {
    /// A run that is ordered or taken over now.
    pub(crate) fn new(now: Moment, owner: OwnerKey, room: Capacity, estimate_ms: u32) -> Self {
        Self {
            owner,
            room,
            estimate_ms,
            charged: 0,
            since: now,
            phase: RunPhase::Ordered,
            percent: 0,
            progressed: now,
            paced_percent: 0,
            paced: now,
            kind: TaskKind::default(),
            kind_crashed_after: None,
            crashed_after: None,
            missed: 0,
        }
    }

    /// Whether the target is known to have started it.
    pub(crate) fn has_begun(&self) -> bool {
        !matches!(self.phase, RunPhase::Ordered | RunPhase::Unconfirmed { .. })
    }

    /// Whether its task and one that ran for this time may both have crashed a target, and it has not yet run long
    /// enough to show that it did not.
    pub(crate) fn is_like_suspect(&self, now: Moment, ran: Duration) -> bool {
        self.crashed_after.is_some_and(|own| {
            now.since(self.since) <= trial_time(own) && are_similar_run_times(own, ran)
        })
    }

    /// Whether it may still crash its target as others of its kind have.
    pub(crate) fn is_on_kind_trial(&self, now: Moment) -> bool {
        self.kind_crashed_after
            .is_some_and(|ran| now.since(self.since) <= trial_time(ran))
    }

    /// Whether it may have done its work after this time; not known if its caller gave no guess.
    pub(crate) fn may_have_ended_after(&self, ran: Duration) -> bool {
        self.estimate_ms > 0 && ran >= self.estimate()
    }

    /// The caller's guess of its time.
    pub(crate) fn estimate(&self) -> Duration {
        Duration::from_millis(u64::from(self.estimate_ms))
    }
}

/// The runs that take room at one target.
#[derive(Clone, Debug, Default)]
pub struct RunTable {
    runs: IndexMap<RunId, Run>,
    used: Capacity,
}

impl RunTable {
    /// Adds a run.
    pub fn insert(&mut self, id: RunId, run: Run) {
        self.used = self.used.with(&run.room);
        if let Some(before) = self.runs.insert(id, run) {
            self.used = self.used.without(&before.room);
        }
    }

    /// Takes a run out.
    pub fn remove(&mut self, id: &RunId) -> Option<Run> {
        let run = self.runs.swap_remove(id)?;
        self.used = self.used.without(&run.room);
        Some(run)
    }

    /// A run.
    pub fn get(&self, id: &RunId) -> Option<&Run> {
        self.runs.get(id)
    }

    /// A run, to be changed; its room stays.
    pub fn get_mut(&mut self, id: &RunId) -> Option<&mut Run> {
        self.runs.get_mut(id)
    }

    /// All runs.
    pub fn iter(&self) -> impl Iterator<Item = (&RunId, &Run)> {
        self.runs.iter()
    }

    /// All runs, to be changed; their room stays.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&RunId, &mut Run)> {
        self.runs.iter_mut()
    }

    /// The runs of one entry.
    pub(crate) fn of_owner(&self, owner: &OwnerKey) -> Vec<RunId> {
        let own = self.runs.iter().filter(|(_, run)| run.owner == *owner);
        own.map(|(id, _)| *id).collect()
    }

    /// Whether an entry has any runs.
    pub(crate) fn has_any_of(&self, owner: &OwnerKey) -> bool {
        self.runs.values().any(|run| run.owner == *owner)
    }

    /// The names of all runs.
    pub fn ids(&self) -> Vec<RunId> {
        self.runs.keys().copied().collect()
    }

    /// What all runs take together.
    pub fn used(&self) -> Capacity {
        self.used
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
