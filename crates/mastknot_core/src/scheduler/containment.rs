use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{CrashedRun, LearnedSuspect, TargetCrash, TaskKind, are_similar_run_times};
use crate::types::{Moment, NodeName};

/// Minimum number of runs that must complete without a crash before their kind counts as healthy.
const MIN_SUCCESSES: u32 = 32;
/// Accepted probability that a kind that still crashes targets is released by chance.
const MAX_FALSE_RELEASE: f64 = 0.02;
/// Minimum time between the last crash of a kind and its release: reports of other crashes may still be on their way.
const MIN_CONTAINMENT: Duration = Duration::from_secs(1);
/// Time without a crash after which [`MIN_SUCCESSES`] completed runs are enough for a release.
const LONG_CONTAINMENT: Duration = Duration::from_secs(4);
/// Time without a crash after which a kind is released regardless of its runs.
const MAX_CONTAINMENT: Duration = Duration::from_secs(10);
/// Time after the last crash of a released kind during which a single similar crash contains it again.
const RELEASED_KIND_RETENTION: Duration = Duration::from_secs(60);

/// Thousandths in a whole.
const PER_MILLE: f64 = 1_000.0;

/// A kind of tasks that has crashed targets.
#[derive(Clone, Debug)]
struct SuspectKind {
    /// Time for which a task of the kind ran until its target crashed.
    time_to_crash: Duration,
    /// Share of the targets that the kind may use, from 0 to 1.
    target_share: f64,
    /// Sides whose targets tasks of the kind have crashed, in the order of the crashes.
    crashed_sides: Vec<NodeName>,
    last_crash: Moment,
    /// Number of crashes since the kind was contained, including the one that led to that.
    crashes: u32,
    /// Number of runs that have completed while the kind was contained.
    successes: u32,
    /// Number of runs that have completed since the last crash while the kind was contained.
    successes_since_crash: u32,
    /// Time at which the kind was released, or `None` while it is contained.
    released_at: Option<Moment>,
}

impl SuspectKind {
    fn new(now: Moment, time_to_crash: Duration, target_share: f64) -> Self {
        Self {
            time_to_crash,
            target_share,
            crashed_sides: Vec::new(),
            last_crash: now,
            crashes: 1,
            successes: 0,
            successes_since_crash: 0,
            released_at: None,
        }
    }

    fn record_crash(&mut self, now: Moment) {
        self.last_crash = now;
        self.crashes += 1;
        self.successes_since_crash = 0;
    }

    fn record_crashed_side(&mut self, side: &NodeName) {
        if !self.crashed_sides.contains(side) {
            self.crashed_sides.push(side.clone());
        }
    }

    fn is_contained(&self) -> bool {
        self.released_at.is_none()
    }

    /// Contains a released kind again. It keeps the list of crashed sides, because other entries that have not released
    /// the kind still use the same list.
    fn contain_again(&mut self, now: Moment) {
        *self = Self {
            crashed_sides: std::mem::take(&mut self.crashed_sides),
            ..Self::new(now, self.time_to_crash, self.target_share)
        };
    }

    /// Returns whether enough runs have completed without a crash, or enough time has passed since the last one.
    fn is_healthy(&self, now: Moment) -> bool {
        let since = now.since(self.last_crash);
        let enough = match since >= LONG_CONTAINMENT {
            true => MIN_SUCCESSES,
            false => MIN_SUCCESSES.max(self.successes_needed()),
        };
        let has_proven_healthy = since >= MIN_CONTAINMENT && self.successes_since_crash >= enough;
        has_proven_healthy || since >= MAX_CONTAINMENT
    }

    /// Returns the number of completed runs without a crash that chance is unlikely to produce while the kind still
    /// crashes targets as often as before.
    ///
    /// The probability that `times` the mean number of runs between two crashes pass without a crash is `exp(-times)`,
    /// and the question arises again after each crash. Completed runs are those of this entry, while crashes are those
    /// of all entries. The result does not depend on this entry's share of the work, because both the mean and the
    /// count that is compared with it are in runs of this entry.
    fn successes_needed(&self) -> u32 {
        let crashes = f64::from(self.crashes.max(1));
        let successes_per_crash = f64::from(self.successes) / crashes;
        let times = (crashes / MAX_FALSE_RELEASE).ln();
        (successes_per_crash * times).ceil() as u32
    }
}

/// Kinds of tasks that may only run on a share of the targets.
///
/// A kind is contained once one of its tasks is confirmed to crash targets. Each new task of the kind may do the same,
/// and two targets per job, each down for seconds, can exceed the number of targets. The kind is released once it has
/// proven healthy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Containment {
    kinds: BTreeMap<TaskKind, SuspectKind>,
}

impl Containment {
    /// Contains a kind of which a task is confirmed to crash targets. Returns whether the kind was not contained
    /// before.
    pub(crate) fn contain(
        &mut self,
        now: Moment,
        kind: TaskKind,
        time_to_crash: Duration,
        target_share: f64,
    ) -> bool {
        match self.kinds.get_mut(&kind) {
            Some(known) if known.is_contained() => {
                known.time_to_crash = known.time_to_crash.max(time_to_crash);
                false
            }
            Some(known) => {
                known.contain_again(now);
                true
            }
            None => {
                self.kinds
                    .insert(kind, SuspectKind::new(now, time_to_crash, target_share));
                true
            }
        }
    }

    /// Contains a kind that earlier processes had contained. Returns whether the kind was unknown here; what this
    /// process has observed takes precedence, since it may have released the kind.
    pub(crate) fn contain_learned(&mut self, now: Moment, learned: &LearnedSuspect) -> bool {
        if self.kinds.contains_key(&learned.kind) {
            return false;
        }
        let time_to_crash = Duration::from_millis(u64::from(learned.crashed_after_ms));
        let target_share = f64::from(learned.share_per_mille) / PER_MILLE;
        let suspect = SuspectKind {
            crashed_sides: learned.crashed_sides.clone(),
            ..SuspectKind::new(now, time_to_crash, target_share)
        };
        self.kinds.insert(learned.kind, suspect);
        true
    }

    /// Returns when a kind was released, or `None` if it is contained or has never been.
    pub(crate) fn released_at(&self, kind: TaskKind) -> Option<Moment> {
        self.kinds.get(&kind)?.released_at
    }

    /// Returns the contained kinds for the stored profile.
    pub(crate) fn learned(&self) -> Vec<LearnedSuspect> {
        let contained = self.kinds.iter().filter(|(_, known)| known.is_contained());
        let learned = contained.map(|(kind, known)| LearnedSuspect {
            kind: *kind,
            crashed_after_ms: known.time_to_crash.as_millis() as u32,
            share_per_mille: (known.target_share * PER_MILLE).clamp(1.0, PER_MILLE) as u16,
            crashed_sides: known.crashed_sides.clone(),
        });
        learned.collect()
    }

    /// Returns the crash with only the runs to which it can be attributed. If a task of a contained kind ran for about
    /// as long as other tasks of the kind until their targets crashed, it is the cause, and the other runs on the
    /// target are unrelated.
    pub(crate) fn attributed(&self, crash: &TargetCrash) -> TargetCrash {
        let is_cause = |run: &CrashedRun| {
            let expected = self.time_to_crash(run.kind);
            run.has_begun
                && expected.is_some_and(|expected| are_similar_run_times(expected, run.ran()))
        };
        let mut attributed = crash.clone();
        if !crash.was_silent && crash.runs.iter().any(is_cause) {
            attributed.runs.retain(is_cause);
        }
        attributed
    }

    /// Records a crash and the runs on its target. Returns the released kinds that are contained again.
    pub(crate) fn record_crash(
        &mut self,
        now: Moment,
        side: &NodeName,
        crash: &TargetCrash,
    ) -> Vec<TaskKind> {
        let mut contained_again = Vec::new();
        for (kind, known) in &mut self.kinds {
            let begun = crash.runs.iter().filter(|run| run.has_begun);
            let mut of_kind = begun.filter(|run| run.kind == *kind).peekable();
            if of_kind.peek().is_none() {
                continue;
            }
            let time_to_crash = known.time_to_crash;
            let is_similar = of_kind.any(|run| are_similar_run_times(run.ran(), time_to_crash));
            let is_cause = is_similar && !crash.was_silent;
            if known.is_contained() {
                known.record_crash(now);
            } else if is_cause {
                known.contain_again(now);
                contained_again.push(*kind);
            }
            if is_cause {
                known.record_crashed_side(side);
            }
        }
        contained_again
    }

    /// Records that a task of the kind has crashed the target of a side.
    pub(crate) fn record_crashed_side(&mut self, kind: TaskKind, side: &NodeName) {
        if let Some(known) = self.kinds.get_mut(&kind) {
            known.record_crashed_side(side);
        }
    }

    /// Returns the sides whose targets tasks of the kind have crashed, in the order of the crashes.
    pub(crate) fn crashed_sides(&self, kind: TaskKind) -> &[NodeName] {
        let known = self.kinds.get(&kind);
        known.map_or(&[], |known| &known.crashed_sides)
    }

    /// Records a completed run of the kind.
    pub(crate) fn record_success(&mut self, kind: TaskKind) {
        if let Some(known) = self
            .kinds
            .get_mut(&kind)
            .filter(|known| known.is_contained())
        {
            known.successes += 1;
            known.successes_since_crash += 1;
        }
    }

    /// Releases the kinds that have proven healthy and returns them. Forgets kinds that were released long ago.
    pub(crate) fn release(&mut self, now: Moment) -> Vec<TaskKind> {
        let mut released = Vec::new();
        for (kind, known) in &mut self.kinds {
            if known.is_contained() && known.is_healthy(now) {
                known.released_at = Some(now);
                released.push(*kind);
            }
        }
        let is_recent = |known: &SuspectKind| now.since(known.last_crash) < RELEASED_KIND_RETENTION;
        self.kinds
            .retain(|_, known| known.is_contained() || is_recent(known));
        released
    }

    /// Returns how long a task of a contained kind ran until its target crashed, or `None` if the kind is not
    /// contained.
    pub(crate) fn time_to_crash(&self, kind: TaskKind) -> Option<Duration> {
        let known = self.kinds.get(&kind);
        known
            .filter(|known| known.is_contained())
            .map(|known| known.time_to_crash)
    }

    /// Returns the contained kinds and their shares of the targets.
    pub(crate) fn contained(&self) -> impl Iterator<Item = (TaskKind, f64)> {
        let contained = self.kinds.iter().filter(|(_, known)| known.is_contained());
        contained.map(|(kind, known)| (*kind, known.target_share))
    }

    /// Returns whether no kind is contained.
    pub(crate) fn is_empty(&self) -> bool {
        self.contained().next().is_none()
    }

    /// Returns the next time at which a kind is released even if none of its runs complete.
    pub(crate) fn release_due(&self) -> Option<Moment> {
        let contained = self.kinds.values().filter(|known| known.is_contained());
        contained
            .map(|known| known.last_crash + MAX_CONTAINMENT)
            .min()
    }
}
