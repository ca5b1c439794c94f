use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{CrashedRun, LearnedSuspect, TargetCrash, TaskKind, are_similar_run_times};
use crate::types::{Moment, NodeName};

/// So many runs at least have to do their work without a crash before their kind counts as sound.
const LEAST_SOUND: u32 = 32;
/// The share of containments that may end by chance while the kind still crashes targets.
const RELEASED_BY_CHANCE: f64 = 0.02;
/// No kind is released sooner after its last crash: others may not have been heard of yet.
const LEAST_CONTAINED: Duration = Duration::from_secs(1);
/// After this time without a crash the least number of sound runs is enough.
const LONG_CONTAINED: Duration = Duration::from_secs(4);
/// A kind is released after this time without a crash, whatever ran.
const MOST_CONTAINED: Duration = Duration::from_secs(10);
/// For so long after a kind's release a single crash that is like those before contains it again.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The thousandths of a whole.
const PER_MILLE: f64 = 1_000.0;

/// A kind of tasks that have crashed their targets.
#[derive(Clone, Debug)]
struct SuspectKind {
    /// How long one of its tasks ran until its target crashed.
    ran: Duration,
    /// The part of the targets that it has, from 0 to 1.
    part: f64,
    /// The sides whose targets its tasks have crashed, in the order of the crashes.
    crashed: Vec<NodeName>,
    last_crash: Moment,
    crashes: u32,
    /// Runs that did their work while the kind was contained, and how many of them since the last crash.
    done: u32,
    done_since: u32,
    /// When it was released; none while it is contained.
    released: Option<Moment>,
}

impl SuspectKind {
    fn new(now: Moment, ran: Duration, part: f64) -> Self {
        Self {
            ran,
            part,
            crashed: Vec::new(),
            last_crash: now,
            crashes: 1,
            done: 0,
            done_since: 0,
            released: None,
        }
    }

    fn note_crash(&mut self, now: Moment) {
        self.last_crash = now;
        self.crashes += 1;
        self.done_since = 0;
    }

    fn note_side(&mut self, side: &NodeName) {
        if !self.crashed.contains(side) {
            self.crashed.push(side.clone());
        }
    }

    fn is_contained(&self) -> bool {
        self.released.is_none()
    }

    /// Contains it anew. What it has crashed is still its own: the other entries, which may not have released it, keep that.
    fn contain_again(&mut self, now: Moment) {
        *self = Self {
            crashed: std::mem::take(&mut self.crashed),
            ..Self::new(now, self.ran, self.part)
        };
    }

    /// Whether enough has run without a crash.
    fn is_sound(&self, now: Moment) -> bool {
        let since = now.since(self.last_crash);
        let enough = match since >= LONG_CONTAINED {
            true => LEAST_SOUND,
            false => LEAST_SOUND.max(self.runs_that_tell()),
        };
        let has_shown = since >= LEAST_CONTAINED && self.done_since >= enough;
        has_shown || since >= MOST_CONTAINED
    }

    /// How many runs without a crash chance hardly explains while the kind still crashes targets as often as before.
    ///
    /// That `times` the mean number of runs between two crashes go by without one has the chance `exp(-times)`, and the
    /// question is put after each crash. Runs are this entry's own, crashes those of all entries: a mean in own runs is
    /// held against own runs, whatever this entry's share of the work.
    fn runs_that_tell(&self) -> u32 {
        let crashes = f64::from(self.crashes.max(1));
        let for_each_crash = f64::from(self.done) / crashes;
        let times = (crashes / RELEASED_BY_CHANCE).ln();
        (for_each_crash * times).ceil() as u32
    }
}

/// Which kinds of tasks are kept to a part of the targets.
///
/// A kind is contained once one of its tasks is known to crash targets. Each new task of the kind may do so too, and two
/// targets a job, each gone for seconds, can be more than there are. It is released when it has shown to be sound.
#[derive(Clone, Debug, Default)]
pub(crate) struct Containment {
    kinds: BTreeMap<TaskKind, SuspectKind>,
}

impl Containment {
    /// A task of the kind is known to crash targets; returns whether the kind was free before.
    pub(crate) fn contain(
        &mut self,
        now: Moment,
        kind: TaskKind,
        ran: Duration,
        part: f64,
    ) -> bool {
        match self.kinds.get_mut(&kind) {
            Some(known) if known.is_contained() => {
                known.ran = known.ran.max(ran);
                false
            }
            Some(known) => {
                known.contain_again(now);
                true
            }
            None => {
                self.kinds.insert(kind, SuspectKind::new(now, ran, part));
                true
            }
        }
    }

    /// Contains a kind as earlier processes had done; returns whether it is news. What this process has seen of the kind says
    /// more: it may have released it.
    pub(crate) fn contain_learned(&mut self, now: Moment, learned: &LearnedSuspect) -> bool {
        if self.kinds.contains_key(&learned.kind) {
            return false;
        }
        let ran = Duration::from_millis(u64::from(learned.crashed_after_ms));
        let part = f64::from(learned.share_per_mille) / PER_MILLE;
        let suspect = SuspectKind {
            crashed: learned.crashed_sides.clone(),
            ..SuspectKind::new(now, ran, part)
        };
        self.kinds.insert(learned.kind, suspect);
        true
    }

    /// When a kind was released; none if it is contained or has never been.
    pub(crate) fn released(&self, kind: TaskKind) -> Option<Moment> {
        self.kinds.get(&kind)?.released
    }

    /// The kinds that are contained, for those who come after.
    pub(crate) fn learned(&self) -> Vec<LearnedSuspect> {
        let contained = self.kinds.iter().filter(|(_, known)| known.is_contained());
        let learned = contained.map(|(kind, known)| LearnedSuspect {
            kind: *kind,
            crashed_after_ms: known.ran.as_millis() as u32,
            share_per_mille: (known.part * PER_MILLE).clamp(1.0, PER_MILLE) as u16,
            crashed_sides: known.crashed.clone(),
        });
        learned.collect()
    }

    /// The crash as far as it says something of tasks: where one of a contained kind ran for as long as others of its kind
    /// did until their targets crashed, it is the cause, and what else ran there has nothing to do with it.
    pub(crate) fn blamed(&self, crash: &TargetCrash) -> TargetCrash {
        let is_cause = |run: &CrashedRun| {
            let usual = self.ran(run.kind);
            run.has_begun && usual.is_some_and(|usual| are_similar_run_times(usual, run.ran()))
        };
        let mut blamed = crash.clone();
        if !crash.was_silent && crash.runs.iter().any(is_cause) {
            blamed.runs.retain(is_cause);
        }
        blamed
    }

    /// Takes in what ran on a target that has crashed; returns the kinds that are contained again.
    pub(crate) fn note_crash(
        &mut self,
        now: Moment,
        side: &NodeName,
        crash: &TargetCrash,
    ) -> Vec<TaskKind> {
        let mut again = Vec::new();
        for (kind, known) in &mut self.kinds {
            let begun = crash.runs.iter().filter(|run| run.has_begun);
            let mut of_kind = begun.filter(|run| run.kind == *kind).peekable();
            if of_kind.peek().is_none() {
                continue;
            }
            let ran = known.ran;
            let is_like = of_kind.any(|run| are_similar_run_times(run.ran(), ran));
            let is_cause = is_like && !crash.was_silent;
            if known.is_contained() {
                known.note_crash(now);
            } else if is_cause {
                known.contain_again(now);
                again.push(*kind);
            }
            if is_cause {
                known.note_side(side);
            }
        }
        again
    }

    /// A task of the kind has crashed this side's target.
    pub(crate) fn note_side(&mut self, kind: TaskKind, side: &NodeName) {
        if let Some(known) = self.kinds.get_mut(&kind) {
            known.note_side(side);
        }
    }

    /// The sides whose targets tasks of the kind have crashed, in the order of the crashes.
    pub(crate) fn crashed_sides(&self, kind: TaskKind) -> &[NodeName] {
        let known = self.kinds.get(&kind);
        known.map_or(&[], |known| &known.crashed)
    }

    /// A run of the kind has done its work.
    pub(crate) fn record_success(&mut self, kind: TaskKind) {
        if let Some(known) = self
            .kinds
            .get_mut(&kind)
            .filter(|known| known.is_contained())
        {
            known.done += 1;
            known.done_since += 1;
        }
    }

    /// Releases the kinds that have shown to be sound, and returns them; forgets those of long ago.
    pub(crate) fn release(&mut self, now: Moment) -> Vec<TaskKind> {
        let mut released = Vec::new();
        for (kind, known) in &mut self.kinds {
            if known.is_contained() && known.is_sound(now) {
                known.released = Some(now);
                released.push(*kind);
            }
        }
        let is_of_use = |known: &SuspectKind| now.since(known.last_crash) < REMEMBERED;
        self.kinds
            .retain(|_, known| known.is_contained() || is_of_use(known));
        released
    }

    /// How long a task of a contained kind ran until its target crashed; none if the kind is free.
    pub(crate) fn ran(&self, kind: TaskKind) -> Option<Duration> {
        let known = self.kinds.get(&kind);
        known
            .filter(|known| known.is_contained())
            .map(|known| known.ran)
    }

    /// The kinds that are contained, and their parts of the targets.
    pub(crate) fn contained(&self) -> impl Iterator<Item = (TaskKind, f64)> {
        let contained = self.kinds.iter().filter(|(_, known)| known.is_contained());
        contained.map(|(kind, known)| (*kind, known.part))
    }

    /// Whether no kind is contained.
    pub(crate) fn is_empty(&self) -> bool {
        self.contained().next().is_none()
    }

    /// When time alone releases a kind.
    pub(crate) fn release_due(&self) -> Option<Moment> {
        let contained = self.kinds.values().filter(|known| known.is_contained());
        contained
            .map(|known| known.last_crash + MOST_CONTAINED)
            .min()
    }
}
