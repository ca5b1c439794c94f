//! Containment of kinds of tasks that crash targets: which sides are reserved for them and what is started there.
//!
//! All entries receive the same crash reports, and the reserved sides follow from the names of the kind and of the
//! sides. Entries therefore agree on them without exchanging messages.

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

/// Assumed share of the work for a kind with few completed runs.
const DEFAULT_SHARE: f64 = 0.25;
/// Share of the work at or above which a kind is not contained: with nearly all of the work there are no other kinds
/// to protect from it.
const MAX_SHARE: f64 = 0.95;
/// Maximum share of the targets that is reserved for all contained kinds together.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Ratio of the capacity that is left to the other kinds to the capacity that they use. Capacity is never filled
/// without gaps, and some of their tasks may be waiting instead of running.
const HEADROOM_FACTOR: f64 = 1.5;
/// Added to the score of a target for a task of a contained kind when other tasks of its job run elsewhere. A job that
/// crashes its targets then crashes a single one.
const SCATTER_PENALTY: u32 = 2_000;

impl JobScheduler {
    /// Contains the kinds whose tasks are confirmed to have crashed targets.
    pub(super) fn contain_confirmed_kinds(
        &mut self,
        now: Moment,
        side: &NodeName,
        crash: &TargetCrash,
    ) {
        let relevant = self.without_known_suspects(now, crash);
        let mut contained = self.containment.record_crash(now, side, &relevant);
        for crashed in &relevant.runs {
            let kind = crashed.kind;
            let has_others = self.work_share(kind) < MAX_SHARE;
            if !has_others || !self.crashes.is_confirmed(&crashed.run.task) {
                continue;
            }
            let share = self.reserved_share_for(kind);
            if self.containment.contain(now, kind, crashed.ran(), share) {
                contained.push(kind);
            }
        }
        self.record_crashed_sides(crash);
        // A kind that is already contained may have crashed another side.
        self.reassign_reserved_sides();
        if contained.is_empty() {
            return;
        }
        for kind in contained {
            self.counters.kinds_contained += 1;
            let targets = self.reserved_sides(kind).count();
            self.record_decision(SchedulerDecision::KindContained { kind, targets });
        }
        self.give_up_suspects(now);
        self.requeue_all(now);
    }

    /// Records for each kind in this crash the sides that its tasks are confirmed to have crashed.
    fn record_crashed_sides(&mut self, crash: &TargetCrash) {
        for crashed in &crash.runs {
            for side in self.crashes.crashed_sides(&crashed.run.task) {
                self.containment.record_crashed_side(crashed.kind, &side);
            }
        }
    }

    /// Returns the crash without tasks that had crashed targets before their kind was released, or while their kind is
    /// contained: they show nothing about new tasks of the kind.
    fn without_known_suspects(&self, now: Moment, crash: &TargetCrash) -> TargetCrash {
        let crashed = now - Duration::from_millis(u64::from(crash.ago_ms));
        let is_relevant = |run: &CrashedRun| {
            let first = self.crashes.first_crash(&run.run.task);
            let released = self.containment.released_at(run.kind);
            match (released, first) {
                (Some(released), Some(first)) => first > released,
                (None, Some(first)) if self.containment.time_to_crash(run.kind).is_some() => {
                    first >= crashed
                }
                _ => true,
            }
        };
        let mut relevant = crash.clone();
        relevant.runs.retain(is_relevant);
        relevant
    }

    /// Contains the kinds that earlier processes had contained. Detecting them again would cost targets.
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
        self.assign_reserved_sides();
        for kind in contained {
            self.counters.kinds_known += 1;
            let targets = self.reserved_sides(kind).count();
            self.record_decision(SchedulerDecision::KindKnown { kind, targets });
        }
        self.requeue_all(now);
    }

    /// Releases the kinds that have proven healthy.
    pub(super) fn release_healthy_kinds(&mut self, now: Moment) {
        if self.containment.is_empty() {
            return;
        }
        let released = self.containment.release(now);
        if released.is_empty() {
            return;
        }
        self.assign_reserved_sides();
        for kind in released {
            self.counters.kinds_released += 1;
            self.record_decision(SchedulerDecision::KindReleased { kind });
        }
        self.requeue_all(now);
    }

    /// Returns how long a task of an isolated kind ran until its target crashed. A kind is isolated if it is contained
    /// and has reserved sides; with too few targets to reserve any, it is treated like any other kind.
    pub(super) fn isolated_time_to_crash(&self, kind: TaskKind) -> Option<Duration> {
        let has_reserved_sides = self.kinds_with_own_targets.contains(&kind);
        has_reserved_sides
            .then(|| self.containment.time_to_crash(kind))
            .flatten()
    }

    /// Updates the reserved sides after links were opened or closed or a kind has crashed a target.
    pub(super) fn reassign_reserved_sides(&mut self) {
        if !self.containment.is_empty() {
            self.assign_reserved_sides();
        }
    }

    /// Reserves its share of the linked sides for each contained kind.
    fn assign_reserved_sides(&mut self) {
        self.sides
            .values_mut()
            .for_each(|side| side.reserved_for = None);
        let linked = self.sides.values().filter(|side| side.session.is_some());
        let linked = linked.count();
        let kinds: Vec<(TaskKind, f64)> = self.containment.contained().collect();
        let wanted: f64 = kinds.iter().map(|(_, share)| share).sum();
        let scale = (MAX_RESERVED_SHARE / wanted).min(1.0);
        let mut left = (linked as f64 * MAX_RESERVED_SHARE) as usize;
        self.kinds_with_own_targets.clear();
        for (kind, share) in kinds {
            let count = reserved_count(linked, share * scale).min(left);
            if count == 0 {
                continue;
            }
            left -= count;
            self.kinds_with_own_targets.push(kind);
            for index in self.first_available_sides(kind, count) {
                self.sides[index].reserved_for = Some(kind);
            }
        }
    }

    /// Returns the first linked sides to reserve for a kind among those that are reserved for no other. Sides whose
    /// targets the kind has crashed come first, so that the other kinds lose no more targets to it; the rest follow by
    /// rank.
    fn first_available_sides(&self, kind: TaskKind, count: usize) -> Vec<usize> {
        let sides = self.sides.iter().enumerate();
        let open =
            sides.filter(|(_, (_, side))| side.session.is_some() && side.reserved_for.is_none());
        let crashed = self.containment.crashed_sides(kind);
        let position = |name: &NodeName| crashed.iter().position(|side| side == name);
        let ranked = open.map(|(index, (name, _))| {
            let position = position(name).unwrap_or(usize::MAX);
            (position, reservation_rank(kind, name), index)
        });
        let mut ranked: Vec<(usize, u32, usize)> = ranked.collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(count);
        first.map(|(_, _, index)| index).collect()
    }

    /// Returns the indices of the sides that would be reserved for a kind. A suspect is tried there first: if its kind
    /// is contained later, the other kinds have lost no target of their own to the trial.
    pub(super) fn prospective_reserved_sides(&self, kind: TaskKind) -> Vec<usize> {
        let linked = self.sides.values().filter(|side| side.session.is_some());
        let count = reserved_count(linked.count(), self.reserved_share_for(kind));
        self.first_available_sides(kind, count)
    }

    /// Returns the share of the targets to reserve for a kind: the capacity that the other kinds do not need, but at
    /// least the kind's share of the work. Targets that are down half of the time serve less than their number
    /// suggests.
    fn reserved_share_for(&self, kind: TaskKind) -> f64 {
        let share = self.work_share(kind);
        let others = self.used_capacity_share() * (1.0 - share);
        let spare = 1.0 - HEADROOM_FACTOR * others;
        spare.max(share).min(MAX_RESERVED_SHARE)
    }

    /// Returns the used share of the capacity of all targets that accept work, from 0 to 1.
    fn used_capacity_share(&self) -> f64 {
        let open = self.sides.values().filter(|side| side.takes_work());
        let (used, all) = open.fold((0.0, 0.0), |(used, all), side| {
            let capacity = side
                .target
                .as_ref()
                .map_or(0, |target| target.capacity.cpu_millis);
            let free = side.unused().cpu_millis.min(capacity);
            (used + f64::from(capacity - free), all + f64::from(capacity))
        });
        if all > 0.0 { used / all } else { 1.0 }
    }

    fn work_share(&self, kind: TaskKind) -> f64 {
        self.kind_loads.share(kind).unwrap_or(DEFAULT_SHARE)
    }

    fn reserved_sides(&self, kind: TaskKind) -> impl Iterator<Item = &SideView> {
        let sides = self.sides.values();
        sides.filter(move |side| side.reserved_for == Some(kind))
    }

    /// Returns the isolated kind of a job's tasks, if there is one.
    pub(super) fn contained_kind(&self, job: &ActiveJob) -> Option<TaskKind> {
        let mut kinds = job.kinds.iter().copied();
        kinds.find(|kind| self.isolated_time_to_crash(*kind).is_some())
    }

    /// Gives up a job of an isolated kind if a target crashed under one of its tasks after about the same time as under
    /// other tasks of the kind. Each further start may cost another target, in the time of which several other jobs
    /// would be completed.
    ///
    /// The cause is not confirmed, so the job is answered with a timeout and its callers may submit it again. While the
    /// kind is contained, no task of the job starts.
    pub(super) fn give_up_suspect(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_over) else {
            return;
        };
        if self.is_likely_cause(job) {
            self.counters.suspects_given_up += 1;
            self.answer(now, id, JobAnswer::TimedOut);
        }
    }

    fn is_likely_cause(&self, job: &ActiveJob) -> bool {
        let open = job.tasks.iter().enumerate();
        let mut open = open.filter(|(_, task)| task.state != TaskState::Done);
        open.any(|(index, task)| {
            let kind_time = self.isolated_time_to_crash(job.kind(index));
            let task_time = self.crashes.suspect_time_to_crash(&task.name);
            kind_time
                .zip(task_time)
                .is_some_and(|(kind_time, task_time)| are_similar_run_times(kind_time, task_time))
        })
    }

    fn give_up_suspects(&mut self, now: Moment) {
        let open: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in open {
            self.give_up_suspect(now, id);
        }
    }

    /// Returns whether a job belongs to an isolated kind and none of the sides reserved for that kind accepts work.
    pub(super) fn has_no_usable_reserved_side(&self, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        let Some(kind) = job.and_then(|job| self.contained_kind(job)) else {
            return false;
        };
        let mut reserved = self.reserved_sides(kind);
        !reserved.any(|side| side.session.is_some() && side.condition.takes_work())
    }

    /// Returns whether the isolation of kinds allows a task of a job to run at a side.
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
        side.reserved_for == Some(kind) && !side.has_other_trial(now, job.request.id)
    }

    /// Returns the penalty that is added to the score of a side for a task of an isolated kind. It is nonzero if other
    /// tasks of its job run only at other sides.
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
        u32::from(runs_elsewhere) * SCATTER_PENALTY
    }

    /// Records that a side has rejected a task because another job of its kind is in an isolation trial there.
    pub(super) fn record_other_trial(&mut self, now: Moment, side: &NodeName, kind: TaskKind) {
        let Some(time_to_crash) = self.isolated_time_to_crash(kind) else {
            return;
        };
        if let Some(view) = self.sides.get_mut(side) {
            let until = now + trial_time(time_to_crash);
            view.trial = Some(SideTrial { job: None, until });
        }
    }

    /// Returns when the next isolation trial ends for which a task waits.
    pub(super) fn trials_due(&self) -> Option<Moment> {
        let (last, _) = self.waiting.last_key_value()?;
        if !last.is_contained {
            return None;
        }
        let reserved = self
            .sides
            .values()
            .filter(|side| side.reserved_for.is_some());
        let ends = reserved.filter_map(|side| side.trial.map(|trial| trial.until));
        ends.filter(|until| *until > self.last_event_at).min()
    }

    fn requeue_all(&mut self, now: Moment) {
        let waiting: Vec<JobId> = self.waiting.values().copied().collect();
        for id in waiting {
            self.queue_job(now, id);
        }
    }
}

/// Returns the number of sides that a share of all sides amounts to, at least 1. Entries that have observed different
/// loads differ only in the last sides of the reservation.
fn reserved_count(sides: usize, share: f64) -> usize {
    let count = (sides as f64 * share).round() as usize;
    count.max(1)
}

/// Returns the rank of a side for a kind: sides with the lowest ranks are reserved first.
fn reservation_rank(kind: TaskKind, side: &NodeName) -> u32 {
    stable_hash_of(&[&kind.to_string(), side.as_str()])
}
