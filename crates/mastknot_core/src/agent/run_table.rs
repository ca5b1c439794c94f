use std::time::Duration;

use indexmap::IndexMap;

use super::owners::OwnerKey;
use crate::job::{Capacity, EndOfRun, RunId, TaskKind, are_similar_run_times, trial_time};
use crate::types::Moment;

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start was ordered and not answered yet.
    Ordered,
    /// The order to start got no answer.
    Unconfirmed {
        /// Time at which the order was found to be unanswered.
        since: Moment,
    },
    /// The target is known to have started the run.
    Running,
    /// The target was ordered to stop the run.
    Stopping {
        /// End that is reported unless the target reports another one.
        end: EndOfRun,
        /// Time at which the first order to stop was sent.
        first: Moment,
        /// Time at which the last order to stop was sent.
        sent: Moment,
        /// Number of orders to stop that were sent.
        times: u32,
        /// Time at which the target acknowledged an order to stop.
        acknowledged: Option<Moment>,
    },
}

/// Run that takes capacity at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Entry that ordered the run.
    pub(crate) owner: OwnerKey,
    /// Capacity that the run takes.
    pub capacity: Capacity,
    /// Caller's estimate of the run time, in milliseconds; 0 if the caller gave none.
    pub estimate_ms: u32,
    /// Work for which the hall of the entry was charged, in thousandths of the target times
    /// milliseconds.
    pub(crate) charged: u64,
    /// Time at which the run was ordered or taken over.
    pub since: Moment,
    /// Current phase.
    pub phase: RunPhase,
    /// Progress in percent.
    pub percent: u8,
    /// Time at which the progress last changed.
    pub progressed_at: Moment,
    /// Progress in percent that the measured slowdown of the target already includes.
    pub sampled_percent: u8,
    /// Time at which this progress was observed.
    pub sampled_at: Moment,
    /// Kind of the task, shared with other tasks that run the same program.
    pub kind: TaskKind,
    /// Run time after which tasks of this kind crashed targets, if the kind is contained.
    pub kind_crashed_after: Option<Duration>,
    /// Run time after which this task crashed a target before, if it did.
    pub crashed_after: Option<Duration>,
    /// Number of probes in a row in which the target should have listed the run and did not.
    pub missed_probes: u32,
}

impl Run {
    /// Creates a run that is ordered or taken over at `now`.
    pub(crate) fn new(now: Moment, owner: OwnerKey, capacity: Capacity, estimate_ms: u32) -> Self {
        Self {
            owner,
            capacity,
            estimate_ms,
            charged: 0,
            since: now,
            phase: RunPhase::Ordered,
            percent: 0,
            progressed_at: now,
            sampled_percent: 0,
            sampled_at: now,
            kind: TaskKind::default(),
            kind_crashed_after: None,
            crashed_after: None,
            missed_probes: 0,
        }
    }

    /// Returns whether the target is known to have started the run.
    pub(crate) fn has_begun(&self) -> bool {
        !matches!(self.phase, RunPhase::Ordered | RunPhase::Unconfirmed { .. })
    }

    /// Returns whether this task and one that ran for `ran` may both have caused the same crash,
    /// while this run is still too short to show that it was not the cause.
    pub(crate) fn is_similar_suspect(&self, now: Moment, ran: Duration) -> bool {
        self.crashed_after.is_some_and(|own| {
            now.since(self.since) <= trial_time(own) && are_similar_run_times(own, ran)
        })
    }

    /// Returns whether the run may still crash its target as other tasks of its kind have.
    pub(crate) fn is_on_kind_trial(&self, now: Moment) -> bool {
        self.kind_crashed_after
            .is_some_and(|ran| now.since(self.since) <= trial_time(ran))
    }

    /// Returns whether the run may have completed its work after this time. Returns `false` if the
    /// caller gave no estimate.
    pub(crate) fn may_have_ended_after(&self, ran: Duration) -> bool {
        self.estimate_ms > 0 && ran >= self.estimate()
    }

    /// Returns the caller's estimate of the run time.
    pub(crate) fn estimate(&self) -> Duration {
        Duration::from_millis(u64::from(self.estimate_ms))
    }
}

/// Runs that take capacity at one target.
#[derive(Clone, Debug, Default)]
pub struct RunTable {
    runs: IndexMap<RunId, Run>,
    used: Capacity,
}

impl RunTable {
    /// Adds a run, or replaces the run with the same id.
    pub fn insert(&mut self, id: RunId, run: Run) {
        self.used = self.used.with(&run.capacity);
        if let Some(before) = self.runs.insert(id, run) {
            self.used = self.used.without(&before.capacity);
        }
    }

    /// Removes and returns a run.
    pub fn remove(&mut self, id: &RunId) -> Option<Run> {
        let run = self.runs.swap_remove(id)?;
        self.used = self.used.without(&run.capacity);
        Some(run)
    }

    /// Returns the run with this id.
    pub fn get(&self, id: &RunId) -> Option<&Run> {
        self.runs.get(id)
    }

    /// Returns the run with this id for modification. Its capacity must not change.
    pub fn get_mut(&mut self, id: &RunId) -> Option<&mut Run> {
        self.runs.get_mut(id)
    }

    /// Iterates over all runs.
    pub fn iter(&self) -> impl Iterator<Item = (&RunId, &Run)> {
        self.runs.iter()
    }

    /// Iterates over all runs for modification. Their capacity must not change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&RunId, &mut Run)> {
        self.runs.iter_mut()
    }

    /// Returns the ids of all runs of one entry.
    pub(crate) fn of_owner(&self, owner: &OwnerKey) -> Vec<RunId> {
        let owned = self.runs.iter().filter(|(_, run)| run.owner == *owner);
        owned.map(|(id, _)| *id).collect()
    }

    /// Returns whether an entry has any runs.
    pub(crate) fn has_any_of(&self, owner: &OwnerKey) -> bool {
        self.runs.values().any(|run| run.owner == *owner)
    }

    /// Returns the ids of all runs.
    pub fn ids(&self) -> Vec<RunId> {
        self.runs.keys().copied().collect()
    }

    /// Returns the capacity that all runs take together.
    pub fn used(&self) -> Capacity {
        self.used
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
