//! Placement of waiting tasks on sides.

use std::sync::Arc;
use std::time::Duration;

use super::active_job::{ActiveJob, TaskState};
use super::job_scheduler::JobScheduler;
use super::side_view::{SideTrial, SideView};
use super::{CompletionForecast, OrderKey, SchedulerDecision};
use crate::job::{
    Capacity, EntryOrder, JobAnswer, JobId, RunId, StartOrder, TargetCondition, WaitingNeed,
    trial_time,
};
use crate::types::{Moment, NodeName};

/// Maximum number of waiting jobs that are scanned at a time.
const MAX_SCANNED: usize = 32;
/// Number of jobs that found too little capacity after which the remaining jobs are not tried.
const MAX_MISSES: usize = 4;
/// Limit from which on a target counts as slow and is used only for occasional trials, in percent of the median time
/// that targets take for the same work.
const SLOW_LIMIT_PERCENT: u32 = 250;
/// Time between two trials of a slow target, by all entries together. Each trial is a task that probably ends late.
const SLOW_TARGET_TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Penalty for a side on which the task has failed before, in thousandths of a full target.
const AVOIDED_PENALTY: u32 = 4_000;
/// Penalty for a side outside of the targets that the kind of a suspect task would have if it were contained, in
/// thousandths of a full target.
const OUTSIDE_LIKELY_PART_PENALTY: u32 = 1_400;
/// Penalty for a side in another rack than the task's data, in thousandths of a full target.
const OTHER_RACK_PENALTY: u32 = 600;
/// Penalty for a target on probation, in thousandths of a full target.
const PROBATION_PENALTY: u32 = 2_000;

/// Penalty for a cold target, in thousandths of a full target. It equals the score of a full target far from the entry,
/// so that a cold target gets work only when no warm one has capacity.
const COLD_PENALTY: u32 = 1_400;

/// A side that a task may be started on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index of the side in the map of sides.
    pub(super) side_index: usize,
    /// Whether the target is slow, so that it gets a single task as a trial.
    pub(super) is_slow: bool,
}

impl JobScheduler {
    pub(super) fn place_waiting(&mut self, now: Moment) {
        if self.waiting.is_empty() {
            return;
        }
        self.refresh_completion_forecasts(now);
        let candidates = self.candidates(now);
        // Jobs of contained kinds wait for targets of their own, so neither group holds up the other.
        let free = self.jobs_in_turn(now, &candidates, MAX_SCANNED);
        let contained = first_jobs(self.waiting.range(OrderKey::FIRST_CONTAINED..));
        let misses = self.place_jobs(now, &free, &candidates);
        let contained_misses = self.place_jobs(now, &contained, &candidates);
        if misses + contained_misses > 0 {
            self.give_up_infeasible(now);
        }
    }

    /// Places as many of these jobs as possible. Returns the number of jobs that found too little capacity.
    fn place_jobs(&mut self, now: Moment, jobs: &[JobId], candidates: &[Candidate]) -> usize {
        let mut misses = 0;
        for id in jobs {
            let waits = self.waits_for_gang_until(now, *id).is_some();
            if waits && !self.fits_gang(now, *id, candidates) {
                continue;
            }
            if candidates.is_empty() || !self.place_job(now, *id, candidates) {
                misses += 1;
                self.record_no_capacity(now, *id);
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
        misses
    }

    /// Returns the sides that a task may be started on now, whatever the task. When targets are overloaded, these are
    /// few of many, so all waiting tasks are compared with these sides only.
    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let sides = self.sides.values().enumerate();
        let with_capacity = sides.filter(|(_, side)| side.takes_work() && side.has_free_capacity());
        let with_capacity: Vec<usize> = with_capacity.map(|(index, _)| index).collect();
        if with_capacity.is_empty() {
            return Vec::new();
        }
        let entries = self.entries.len().max(1) as u32;
        let interval = SLOW_TARGET_TRIAL_INTERVAL * entries;
        let median_percent = self.median_slowdown_percent();
        let candidates = with_capacity.into_iter().map(|index| Candidate {
            side_index: index,
            is_slow: is_slow(&self.sides[index], median_percent),
        });
        let is_open = |candidate: &Candidate| {
            !candidate.is_slow || may_be_tried(now, &self.sides[candidate.side_index], interval)
        };
        candidates.filter(is_open).collect()
    }

    /// Returns the need of the waiting jobs that are as urgent as the first of them.
    pub(super) fn waiting_need(&self, now: Moment) -> Option<WaitingNeed> {
        // Contained kinds have targets of their own, where other jobs take no capacity from them.
        let free = self.waiting_uncontained();
        let in_turn = free.filter(|(key, id)| self.waits_until(now, key, id).is_none());
        let mut in_turn = in_turn.take(MAX_SCANNED).peekable();
        let rank = in_turn.peek()?.0.rank();
        let mut need: Option<WaitingNeed> = None;
        for (key, id) in in_turn {
            if key.rank() != rank {
                break;
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let mut job_total = Capacity::default();
            for task in job.waiting_tasks() {
                let required = job.step(task).required_capacity;
                job_total = job_total.with(&required);
                let total_need = need.get_or_insert(WaitingNeed {
                    rank,
                    smallest_task: required,
                    ..WaitingNeed::default()
                });
                total_need.required_capacity = total_need.required_capacity.with(&required);
                total_need.smallest_task = total_need.smallest_task.smaller_of(&required);
            }
            if let Some(need) = need.as_mut().filter(|_| self.uses_capacity_grants()) {
                need.record_job(job_total, now.since(job.arrived));
            }
        }
        if let Some(need) = need.as_mut().filter(|_| self.uses_capacity_grants()) {
            need.by_rank = self.own_waiting_work();
        }
        need
    }

    /// Gives up jobs that found no capacity and can't be completed while they have any value. Their callers are
    /// answered at once, and their active runs are stopped in favour of other jobs.
    fn give_up_infeasible(&mut self, now: Moment) {
        let is_infeasible =
            |key: &OrderKey| key.completion_forecast == CompletionForecast::Hopeless;
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED).rev();
        let free = free.take_while(|(key, _)| is_infeasible(key));
        let contained = self.waiting.range(OrderKey::FIRST_CONTAINED..);
        let contained = contained.filter(|(key, _)| is_infeasible(key));
        let infeasible: Vec<JobId> = free.chain(contained).map(|(_, id)| *id).collect();
        for id in infeasible {
            let may_have_run = self.jobs.get(&id).is_some_and(|job| job.may_have_run());
            let answer = match may_have_run {
                true => JobAnswer::TimedOut,
                false => JobAnswer::Refused {
                    retry_after: self.retry_after(now, id),
                },
            };
            self.answer(now, id, answer);
        }
    }

    /// Updates the order of jobs that can no longer meet their completion forecasts.
    fn refresh_completion_forecasts(&mut self, now: Moment) {
        let first = self.waiting.iter().take(MAX_SCANNED);
        let contained = self.waiting.range(OrderKey::FIRST_CONTAINED..);
        let stale = first.chain(contained.take(MAX_SCANNED));
        let stale = stale.filter(|(key, _)| {
            key.completion_forecast != CompletionForecast::Hopeless && key.latest_start < now
        });
        let stale: Vec<JobId> = stale.map(|(_, id)| *id).collect();
        for id in stale {
            self.queue_job(now, id);
        }
    }

    fn median_slowdown_percent(&self) -> u32 {
        let sides = self.sides.values().filter(|side| side.takes_work());
        let mut percents: Vec<u32> = sides.map(|side| side.slowdown_percent).collect();
        percents.sort_unstable();
        percents.get(percents.len() / 2).copied().unwrap_or(100)
    }

    /// Places as many tasks of a job as possible. Returns whether none of its tasks waits any more.
    fn place_job(&mut self, now: Moment, id: JobId, candidates: &[Candidate]) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let waiting = job.waiting_tasks();
        let mut all_placed = true;
        for task in waiting {
            let Some(job) = self.jobs.get(&id) else {
                return true;
            };
            if self.waits_for_trial(now, job, task) {
                all_placed = false;
                continue;
            }
            let Some(side) = self.pick_side(now, job, task, candidates) else {
                all_placed = false;
                break;
            };
            self.start(now, id, task, &side);
        }
        self.queue_job(now, id);
        if all_placed {
            self.record_fully_placed(now, id);
        }
        all_placed
    }

    /// Returns whether the first waiting task of a job could be placed now, whatever waits before it.
    pub(super) fn has_capacity_for(&self, now: Moment, job: &ActiveJob) -> bool {
        let candidates = self.candidates(now);
        let mut waiting = job.waiting_tasks().into_iter();
        let first = waiting.next();
        first.is_some_and(|task| self.pick_side(now, job, task, &candidates).is_some())
    }

    fn pick_side(
        &self,
        now: Moment,
        job: &ActiveJob,
        task: usize,
        candidates: &[Candidate],
    ) -> Option<NodeName> {
        let suspect = self.individual_suspect_time(job, task);
        let likely = suspect.map(|_| self.prospective_reserved_sides(job.kind(task)));
        let is_outside_part =
            |index: &usize| likely.as_ref().is_some_and(|part| !part.contains(index));
        let sides = candidates.iter().filter_map(|candidate| {
            let (name, side) = self.sides.get_index(candidate.side_index)?;
            let is_in_trial = candidate.is_slow && !side.runs.is_empty();
            (!is_in_trial).then_some((candidate.side_index, name, side))
        });
        let fitting = sides.filter(|(_, name, side)| {
            is_suitable(job, task, side)
                && self.is_allowed_by_isolation(now, job, task, side)
                && is_below_step_limit(job, task, name)
                && suspect.is_none_or(|ran| !self.runs_similar_suspect(now, ran, side))
        });
        let best = fitting.min_by_key(|(index, name, side)| {
            let outside_part = u32::from(is_outside_part(index)) * OUTSIDE_LIKELY_PART_PENALTY;
            let slowdown = self.slowdown_penalty(now, job, task, side);
            score(job, task, name, side)
                + self.scatter_penalty(job, task, name)
                + outside_part
                + slowdown
        });
        best.map(|(_, name, _)| name.clone())
    }

    fn start(&mut self, now: Moment, id: JobId, task: usize, side: &NodeName) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let crashed_after = self.individual_suspect_time(job, task);
        let kind = job.kind(task);
        let kind_crashed_after = self.isolated_time_to_crash(kind);
        let may_wait_ms = self.may_wait_ms();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let work = job.task_work(task);
        self.demand.obtained.record(work);
        self.demand
            .placed_mean
            .record(job.step(task).required_capacity.cpu_millis, work);
        let Some(view) = self.sides.get_mut(side) else {
            return;
        };
        let Some(session) = view.session else {
            return;
        };
        let attempt = job.attempts.take();
        let spec = job.step(task);
        let required = spec.required_capacity;
        let estimate_ms = spec.estimate.as_millis() as u32;
        let run = RunId {
            task: job.tasks[task].name,
            attempt,
        };
        let placed = SchedulerDecision::Placed {
            run,
            request_id: Arc::clone(&job.request.request_id),
            side: side.clone(),
            free_cpu_millis: view.free().cpu_millis,
            view_age_ms: now.since(view.last_received_at).as_millis() as u64,
            completion_forecast: job
                .key
                .map_or(CompletionForecast::InTime, |key| key.completion_forecast),
            waited_ms: now.since(job.arrived).as_millis() as u64,
        };
        view.record_start(now, run, id, required);
        let report_number = view.last_report_number;
        if let Some(ran) = kind_crashed_after {
            let until = now + trial_time(ran);
            let job = Some(id);
            view.trial = Some(SideTrial { job, until });
        }
        job.tasks[task].state = TaskState::Ordered {
            side: side.clone(),
            attempt,
        };
        job.first_start.get_or_insert(now);
        job.starts += 1;
        let order = StartOrder {
            run,
            payload: Arc::clone(&job.request.payload),
            required_capacity: required,
            estimate_ms,
            kind,
            kind_crashed_after_ms: kind_crashed_after.map(|ran| ran.as_millis() as u32),
            crashed_after_ms: crashed_after.map(|ran| ran.as_millis() as u32),
            rank: job
                .key
                .filter(|_| may_wait_ms > 0)
                .map_or(0, |key| key.rank()),
            may_wait_ms,
            last_received: report_number,
        };
        self.counters.starts += 1;
        self.send(session, EntryOrder::Start(order));
        self.record_decision(placed);
    }
}

fn first_jobs<'a>(waiting: impl Iterator<Item = (&'a OrderKey, &'a JobId)>) -> Vec<JobId> {
    waiting.take(MAX_SCANNED).map(|(_, id)| *id).collect()
}

fn is_suitable(job: &ActiveJob, task: usize, side: &SideView) -> bool {
    may_run(job, task, side) && side.free().covers(&job.step(task).required_capacity)
}

/// Returns whether a task may run on a side, whatever its free capacity.
pub(super) fn may_run(job: &ActiveJob, task: usize, side: &SideView) -> bool {
    let spec = job.step(task);
    let Some(target) = &side.target else {
        return false;
    };
    let has_label = spec
        .required_label
        .iter()
        .all(|label| side.has_label(label));
    *target.service == *job.policy.service && has_label
}

fn is_slow(side: &SideView, median_percent: u32) -> bool {
    let limit = median_percent.max(50) * SLOW_LIMIT_PERCENT / 100;
    side.slowdown_percent > limit
}

/// Returns whether a slow target may get a trial run. Occasional trials show when the target is fast again.
fn may_be_tried(now: Moment, side: &SideView, interval: Duration) -> bool {
    side.runs.is_empty() && now.since(side.last_start) >= interval
}

fn is_below_step_limit(job: &ActiveJob, task: usize, name: &NodeName) -> bool {
    let max = usize::from(job.step(task).max_per_target);
    if max == 0 {
        return true;
    }
    let step = job.tasks[task].name.step;
    let same_step = job.tasks.iter().filter(|other| other.name.step == step);
    let held = same_step
        .filter(|other| matches!(&other.state, TaskState::Ordered { side, .. } if side == name));
    held.count() < max
}

/// Returns the score of a side for a task; the lowest score is the best.
///
/// The score is the utilisation that the target would have, in thousandths, plus penalties.
fn score(job: &ActiveJob, task: usize, name: &NodeName, side: &SideView) -> u32 {
    let spec = job.step(task);
    let capacity = side.target.as_ref().map(|target| target.capacity);
    let capacity = capacity.unwrap_or_default();
    let used = capacity
        .without(&side.unused())
        .with(&spec.required_capacity);
    let mut score = used.max_permille_of(&capacity);
    score += side.preference_penalty;
    if job.tasks[task].avoided.contains(name) {
        score += AVOIDED_PENALTY;
    }
    if side.condition == TargetCondition::Probation {
        score += PROBATION_PENALTY;
    }
    if side.is_cold {
        score += COLD_PENALTY;
    }
    let is_far = spec.preferred_rack.iter().any(|rack| !side.has_label(rack));
    if is_far {
        score += OTHER_RACK_PENALTY;
    }
    score
}
