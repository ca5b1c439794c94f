//! Kinds of tasks that crash targets: their part of the targets, and what is started there.
//!
//! All entries hear of the same crashes, and a part follows from the names of its kind and of the sides, so that they agree
//! on it without asking each other.

use std::time::Duration;

use super::SchedulerDecision;
use super::active_job::{ActiveJob, TaskState};
use super::job_scheduler::JobScheduler;
use super::side_view::{SideTrial, SideView};
use crate::job::{
    CrashedRun, JobAnswer, JobId, LearnedSuspect, TargetCrash, TaskKind, are_similar_run_times,
    trial_time,
};
use crate::types::{Moment, NodeName, stable_hash_of};

/// The share of the work of a kind of which little is known yet.
const USUAL_SHARE: f64 = 0.25;
/// A kind with nearly all of the work is not contained: there is nobody to be kept apart from it.
const LARGEST_SHARE: f64 = 0.95;
/// All contained kinds together have no more than this part of the targets.
const MOST_OF_TARGETS: f64 = 0.5;
/// The other kinds keep so many times the room that they use: it is never filled without gaps, and some of them wait then.
const OTHERS_HEADROOM: f64 = 1.5;
/// Added to the score of a target for a task of a contained kind when other tasks of its job run elsewhere: a job that
/// crashes its targets then crashes one.
const APART_PENALTY: u32 = 2_000;

impl JobScheduler {
    /// Contains the kinds whose tasks are known to have crashed targets.
    pub(super) fn contain_guilty_kinds(
        &mut self,
        now: Moment,
        side: &NodeName,
        crash: &TargetCrash,
    ) {
        let news = self.without_known_suspects(now, crash);
        let mut contained = self.containment.note_crash(now, side, &news);
        for crashed in &news.runs {
            let kind = crashed.kind;
            let has_others = self.share_of(kind) < LARGEST_SHARE;
            if !has_others || !self.crashes.is_guilty(&crashed.run.task) {
                continue;
            }
            let part = self.part_for(kind);
            if self.containment.contain(now, kind, crashed.ran(), part) {
                contained.push(kind);
            }
        }
        self.note_crashed_sides(crash);
        // A kind that is contained already may have crashed one more side.
        self.reassign_reserved_sides();
        if contained.is_empty() {
            return;
        }
        for kind in contained {
            self.counters.kinds_contained += 1;
            let targets = self.part_of(kind).count();
            self.record_decision(SchedulerDecision::KindContained { kind, targets });
        }
        self.give_up_suspects(now);
        self.requeue_all(now);
    }

    /// Notes for each kind the sides whose targets its tasks in this crash are known to have crashed.
    fn note_crashed_sides(&mut self, crash: &TargetCrash) {
        for crashed in &crash.runs {
            for side in self.crashes.crashed_sides(&crashed.run.task) {
                self.containment.note_side(crashed.kind, &side);
            }
        }
    }

    /// The crash without the tasks that had crashed targets before their kind was released, or while it is contained: they
    /// say nothing of the new tasks of their kind.
    fn without_known_suspects(&self, now: Moment, crash: &TargetCrash) -> TargetCrash {
        let crashed = now - Duration::from_millis(u64::from(crash.ago_ms));
        let is_news = |run: &CrashedRun| {
            let first = self.crashes.first_crash(&run.run.task);
            let released = self.containment.released(run.kind);
            match (released, first) {
                (Some(released), Some(first)) => first > released,
                (None, Some(first)) if self.containment.ran(run.kind).is_some() => first >= crashed,
                _ => true,
            }
        };
        let mut news = crash.clone();
        news.runs.retain(is_news);
        news
    }

    /// Contains the kinds that earlier processes had contained: finding them again would cost targets.
    pub(super) fn contain_learned(&mut self, now: Moment, suspects: &[LearnedSuspect]) {
        let mut contained = Vec::new();
        for suspect in suspects {
            if self.containment.contain_learned(now, suspect) {
                contained.push(suspect.kind);
            }
        }
        if contained.is_empty() {
            return;
        }
        self.assign_parts();
        for kind in contained {
            self.counters.kinds_known += 1;
            let targets = self.part_of(kind).count();
            self.record_decision(SchedulerDecision::KindKnown { kind, targets });
        }
        self.requeue_all(now);
    }

    /// Releases the kinds that have shown to be sound.
    pub(super) fn release_healthy_kinds(&mut self, now: Moment) {
        if self.containment.is_empty() {
            return;
        }
        let released = self.containment.release(now);
        if released.is_empty() {
            return;
        }
        self.assign_parts();
        for kind in released {
            self.counters.kinds_released += 1;
            self.record_decision(SchedulerDecision::KindReleased { kind });
        }
        self.requeue_all(now);
    }

    /// How long a task of a kind that has a part of the targets ran until its target crashed. Where there are too few
    /// targets for a part, a contained kind is treated like any other.
    pub(super) fn isolated_time_to_crash(&self, kind: TaskKind) -> Option<Duration> {
        let has_part = self.kinds_with_own_targets.contains(&kind);
        has_part.then(|| self.containment.ran(kind)).flatten()
    }

    /// Links have come or gone, or a kind has crashed a target.
    pub(super) fn reassign_reserved_sides(&mut self) {
        if !self.containment.is_empty() {
            self.assign_parts();
        }
    }

    /// Gives each contained kind its part of the linked sides.
    fn assign_parts(&mut self) {
        self.sides
            .values_mut()
            .for_each(|side| side.reserved_for = None);
        let linked = self.sides.values().filter(|side| side.session.is_some());
        let linked = linked.count();
        let kinds: Vec<(TaskKind, f64)> = self.containment.contained().collect();
        let wanted: f64 = kinds.iter().map(|(_, part)| part).sum();
        let scale = (MOST_OF_TARGETS / wanted).min(1.0);
        let mut left = (linked as f64 * MOST_OF_TARGETS) as usize;
        self.kinds_with_own_targets.clear();
        for (kind, part) in kinds {
            let count = part_size(linked, part * scale).min(left);
            if count == 0 {
                continue;
            }
            left -= count;
            self.kinds_with_own_targets.push(kind);
            for place in self.first_places(kind, count) {
                self.sides[place].reserved_for = Some(kind);
            }
        }
    }

    /// The first linked sides for a kind that are kept for no other: those whose targets it has crashed, so that the
    /// others lose no more to it than these, and then by rank.
    fn first_places(&self, kind: TaskKind, count: usize) -> Vec<usize> {
        let sides = self.sides.iter().enumerate();
        let open =
            sides.filter(|(_, (_, side))| side.session.is_some() && side.reserved_for.is_none());
        let crashed = self.containment.crashed_sides(kind);
        let turn = |name: &NodeName| crashed.iter().position(|side| side == name);
        let ranked = open.map(|(place, (name, _))| {
            let turn = turn(name).unwrap_or(usize::MAX);
            (turn, part_rank(kind, name), place)
        });
        let mut ranked: Vec<(usize, u32, usize)> = ranked.collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(count);
        first.map(|(_, _, place)| place).collect()
    }

    /// The places of the sides that would be kept for a kind. A suspect is tried there first: should its kind be contained
    /// then, the others have lost no target of theirs to that.
    pub(super) fn prospective_reserved_sides(&self, kind: TaskKind) -> Vec<usize> {
        let linked = self.sides.values().filter(|side| side.session.is_some());
        let count = part_size(linked.count(), self.part_for(kind));
        self.first_places(kind, count)
    }

    /// The part of the targets that a kind would have now: what the others do not need, and not less than its share of the
    /// work. A part of targets that are gone half of the time serves less than its size.
    fn part_for(&self, kind: TaskKind) -> f64 {
        let share = self.share_of(kind);
        let others = self.used_share() * (1.0 - share);
        let spare = 1.0 - OTHERS_HEADROOM * others;
        spare.max(share).min(MOST_OF_TARGETS)
    }

    /// How much of the room of the targets that are seen to take work is in use, from 0 to 1.
    fn used_share(&self) -> f64 {
        let seen = self.sides.values().filter(|side| side.takes_work());
        let (used, all) = seen.fold((0.0, 0.0), |(used, all), side| {
            let capacity = side
                .target
                .as_ref()
                .map_or(0, |target| target.capacity.cpu_millis);
            let free = side.unused().cpu_millis.min(capacity);
            (used + f64::from(capacity - free), all + f64::from(capacity))
        });
        if all > 0.0 { used / all } else { 1.0 }
    }

    fn share_of(&self, kind: TaskKind) -> f64 {
        self.kind_loads.share(kind).unwrap_or(USUAL_SHARE)
    }

    fn part_of(&self, kind: TaskKind) -> impl Iterator<Item = &SideView> {
        let sides = self.sides.values();
        sides.filter(move |side| side.reserved_for == Some(kind))
    }

    /// The contained kind of a job, if it has tasks of one.
    pub(super) fn contained_kind(&self, job: &ActiveJob) -> Option<TaskKind> {
        let mut kinds = job.kinds.iter().copied();
        kinds.find(|kind| self.isolated_time_to_crash(*kind).is_some())
    }

    /// Gives up a job of a contained kind under which a target has crashed as under others of its kind: each further start
    /// may cost one more, for which several other jobs would be done. It is not known for certain, so its callers may come
    /// again; while the kind is contained nothing of it starts.
    pub(super) fn give_up_suspect(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_over) else {
            return;
        };
        if self.has_crashed_alike(job) {
            self.counters.suspects_given_up += 1;
            self.answer(now, id, JobAnswer::TimedOut);
        }
    }

    fn has_crashed_alike(&self, job: &ActiveJob) -> bool {
        let open = job.tasks.iter().enumerate();
        let mut open = open.filter(|(_, task)| task.state != TaskState::Done);
        open.any(|(place, task)| {
            let usual = self.isolated_time_to_crash(job.kind(place));
            let own = self.crashes.suspect_ran(&task.name);
            usual
                .zip(own)
                .is_some_and(|(usual, own)| are_similar_run_times(usual, own))
        })
    }

    fn give_up_suspects(&mut self, now: Moment) {
        let open: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in open {
            self.give_up_suspect(now, id);
        }
    }

    /// Whether a job's kind is contained and none of its targets takes work.
    pub(super) fn has_no_usable_reserved_side(&self, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        let Some(kind) = job.and_then(|job| self.contained_kind(job)) else {
            return false;
        };
        let mut part = self.part_of(kind);
        !part.any(|side| side.session.is_some() && side.condition.takes_work())
    }

    /// Whether a job's task may run at a side as far as kinds are kept apart.
    pub(super) fn is_allowed_by_isolation(
        &self,
        now: Moment,
        job: &ActiveJob,
        task: usize,
        side: &SideView,
    ) -> bool {
        let kind = job.kind(task);
        if self.isolated_time_to_crash(kind).is_none() {
            return side.reserved_for.is_none();
        }
        side.reserved_for == Some(kind) && !side.is_tried_by_other(now, job.request.id)
    }

    /// What a task of a contained kind pays for a target besides.
    pub(super) fn scatter_penalty(&self, job: &ActiveJob, task: usize, name: &NodeName) -> u32 {
        if self.isolated_time_to_crash(job.kind(task)).is_none() {
            return 0;
        }
        let mut runs_elsewhere = false;
        for other in &job.tasks {
            match &other.state {
                TaskState::Ordered { side, .. } if side == name => return 0,
                TaskState::Ordered { .. } => runs_elsewhere = true,
                _ => {}
            }
        }
        u32::from(runs_elsewhere) * APART_PENALTY
    }

    /// A side has turned a task away because another job of its kind is on trial there.
    pub(super) fn record_other_trial(&mut self, now: Moment, side: &NodeName, kind: TaskKind) {
        let Some(ran) = self.isolated_time_to_crash(kind) else {
            return;
        };
        if let Some(view) = self.sides.get_mut(side) {
            let until = now + trial_time(ran);
            view.trial = Some(SideTrial { job: None, until });
        }
    }

    /// When the next trial ends for which a task waits.
    pub(super) fn trials_due(&self) -> Option<Moment> {
        let (last, _) = self.waiting.last_key_value()?;
        if !last.is_contained {
            return None;
        }
        let kept = self
            .sides
            .values()
            .filter(|side| side.reserved_for.is_some());
        let ends = kept.filter_map(|side| side.trial.map(|trial| trial.until));
        ends.filter(|until| *until > self.last_event_at).min()
    }

    fn requeue_all(&mut self, now: Moment) {
        let waiting: Vec<JobId> = self.waiting.values().copied().collect();
        for id in waiting {
            self.queue_job(now, id);
        }
    }
}

/// How many of so many sides a part of them is. Entries that have seen other loads agree on all but the last of them.
fn part_size(sides: usize, part: f64) -> usize {
    let count = (sides as f64 * part).round() as usize;
    count.max(1)
}

/// How soon a side is taken for a kind's part.
fn part_rank(kind: TaskKind, side: &NodeName) -> u32 {
    stable_hash_of(&[&kind.to_string(), side.as_str()])
}
