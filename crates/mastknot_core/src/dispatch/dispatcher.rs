use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::active_submission::{ActiveSubmission, Attempt};
use super::credit_pool::CreditPool;
use super::peer_want::PeerWant;
use super::pooled_side::PooledSide;
use super::{
    DispatchCounters, DispatchEffect, FairQueue, JobOrder, QueuedTask, RetryBudget,
    ServiceEstimate, Verdict,
};
use crate::admission::StartRate;
use crate::config::{Profile, Service};
use crate::decision::{Decision, Rule};
use crate::message::{
    Credit, CreditSeq, Demand, EntryMessage, FailReason, NotRunReason, Ran, Refusal, RefusalReason,
    SideCredit, SideHello, Submission, SubmissionAnswer, SubmissionKind, TaskOrder, TaskOutcome,
};
use crate::types::{Hall, Incarnation, Moment, NodeName, SubmissionKey, TaskId};

/// Starts of one submission that sides may call "not run" before it is given up.
const MAX_NOT_RUN: u32 = 16;
/// How often demand is stated again to a side while tasks wait.
const DEMAND_INTERVAL: Duration = Duration::from_millis(300);
/// How often demand is stated to a side that is not known to have resting slots.
const BLIND_DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// How often idle credits are checked for renewal.
const RENEW_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time over which the peak of running tasks is remembered.
const PEAK_WINDOW: Duration = Duration::from_secs(2);
/// The shortest time to come back that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// When to come back if no target runs the service.
const NO_TARGET_RETRY_AFTER_MS: u32 = 1_000;
/// The status from which a target's answer counts as an error of the target.
const ERROR_STATUS: u16 = 500;

/// What an operator sees of a side.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SideStatus {
    /// The side.
    pub side: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its hall.
    pub hall: Hall,
    /// Its target's slots.
    pub slots: u16,
    /// Tasks of this entry that run there.
    pub running: u32,
    /// Idle credits that this entry holds there.
    pub idle: u32,
    /// The placement score.
    pub score: u32,
    /// Its time against the usual time of the services.
    pub slowness: f64,
    /// Whether it is paused after refusals.
    pub is_paused: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// Queues, places, retries and ends the submissions of one entry.
///
/// A task waits here until a credit is at hand (late binding); a credit is spent on the task that
/// fairness puts first at that moment.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    profile: Profile,
    pool: CreditPool,
    queue: FairQueue,
    active: HashMap<SubmissionKey, ActiveSubmission>,
    deadlines: BTreeSet<(Moment, SubmissionKey)>,
    hedges: BTreeSet<(Moment, SubmissionKey)>,
    estimates: HashMap<NodeName, ServiceEstimate>,
    retry_budget: RetryBudget,
    start_rate: StartRate,
    counters: DispatchCounters,
    max_waiting: u32,
    entries: u32,
    running: u32,
    peak_running: u32,
    peak_at: Moment,
    renewed_at: Moment,
    /// When peers were last asked, and for which submission.
    asked_peers: Option<(Moment, Option<SubmissionKey>)>,
    peer_wants: BTreeMap<NodeName, PeerWant>,
}

impl Dispatcher {
    /// An empty dispatcher of an entry in `hall` that queues at most `max_waiting` tasks.
    pub fn new(hall: impl Into<Hall>, profile: Profile, max_waiting: u32) -> Self {
        let mut queue = FairQueue::new(JobOrder::default());
        queue.set_slack(slack_micros(&profile));
        Self {
            retry_budget: RetryBudget::new(profile.retry_budget_percent),
            profile,
            pool: CreditPool::new(hall.into()),
            queue,
            active: HashMap::new(),
            deadlines: BTreeSet::new(),
            hedges: BTreeSet::new(),
            estimates: HashMap::new(),
            start_rate: StartRate::default(),
            counters: DispatchCounters::default(),
            max_waiting,
            entries: 1,
            running: 0,
            peak_running: 0,
            peak_at: Moment::default(),
            renewed_at: Moment::default(),
            asked_peers: None,
            peer_wants: BTreeMap::new(),
        }
    }

    /// Sets the order of a customer's submissions; only before the first is queued.
    pub fn job_order(mut self, order: JobOrder) -> Self {
        debug_assert!(self.active.is_empty(), "submissions are queued already");
        self.queue = FairQueue::new(order);
        self.queue.set_slack(slack_micros(&self.profile));
        self
    }

    /// Puts a changed profile in force.
    pub fn set_profile(&mut self, profile: Profile) {
        self.retry_budget.set_percent(profile.retry_budget_percent);
        self.queue.set_slack(slack_micros(&profile));
        self.profile = profile;
    }

    /// Sets how many entries share the sides.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Sets a team's weight and the tasks it may run here while others wait.
    pub fn set_team(&mut self, team: &NodeName, weight: u32, limit: u32) {
        self.queue.set_team(team, weight, limit);
    }

    /// What was counted so far.
    pub fn counters(&self) -> DispatchCounters {
        self.counters
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> u32 {
        self.queue.waiting()
    }

    /// Tasks that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Submissions that have no answer yet.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Idle credits at hand.
    pub fn idle_credits(&self) -> usize {
        self.pool.idle()
    }

    /// Running tasks by team, for sharing quotas between entries.
    pub fn running_by_team(&self) -> Vec<(NodeName, u32)> {
        self.queue.running_by_team()
    }

    /// What an operator sees of each side.
    pub fn side_status(&self, now: Moment) -> Vec<SideStatus> {
        let status = |(name, side): (&NodeName, &PooledSide)| SideStatus {
            side: name.clone(),
            incarnation: side.incarnation(),
            hall: side.hello.hall.clone(),
            slots: side.hello.slots,
            running: side.running,
            idle: side.credits.len() as u32,
            score: side.score(),
            slowness: side.slowness(),
            is_paused: side.is_paused(now),
            is_leaving: side.is_leaving,
        };
        self.pool.sides().map(status).collect()
    }

    /// How far a submission is: tasks answered and tasks in all.
    pub fn progress(&self, key: SubmissionKey) -> Option<(u16, u16)> {
        let submission = self.active.get(&key)?;
        let count = submission.results.len() as u16;
        Some((count - submission.missing, count))
    }

    /// When [`Dispatcher::tick`] is due.
    pub fn next_tick(&self, now: Moment) -> Option<Moment> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let hedge = self.hedges.first().map(|(at, _)| *at);
        let renew = (self.pool.idle() > 0).then(|| self.renewed_at + RENEW_INTERVAL);
        let ask = (self.queue.waiting() > 0).then(|| now + self.ask_interval());
        let paused = self.pool.sides().map(|(_, side)| side.paused_until());
        let resume = paused.filter(|until| *until > now).min();
        [deadline, hedge, renew, ask, resume]
            .into_iter()
            .flatten()
            .min()
    }

    fn ask_interval(&self) -> Duration {
        Duration::from_millis(u64::from(self.profile.ask_interval_ms))
    }

    // ---- sides and credits ----

    /// A side has joined, or a new run of one.
    pub fn side_joined(&mut self, now: Moment, hello: SideHello, out: &mut Vec<DispatchEffect>) {
        let name = hello.side.clone();
        self.side_left(now, &name, out);
        self.pool.join(now, hello);
        self.ask_for_reserve(now, &name, out);
    }

    /// The link to a side is gone: what ran there has an unknown outcome.
    pub fn side_left(&mut self, now: Moment, side: &NodeName, out: &mut Vec<DispatchEffect>) {
        if self.pool.side(side).is_none() {
            return;
        }
        self.pool.leave(now, side);
        for (task, attempt) in self.attempts_on(side) {
            self.attempt_lost(now, task, attempt, FailReason::SideLost, out);
        }
        self.pump(now, out);
    }

    fn attempts_on(&self, side: &NodeName) -> Vec<(TaskId, Attempt)> {
        let mut found = Vec::new();
        for (key, submission) in &self.active {
            for (index, attempts) in &submission.attempts {
                let here = attempts.iter().filter(|attempt| attempt.side == *side);
                let task = TaskId {
                    key: *key,
                    index: *index,
                };
                found.extend(here.map(|attempt| (task, attempt.clone())));
            }
        }
        found.sort_by_key(|(task, _)| *task);
        found
    }

    /// A side is leaving: its credits are dropped and it gets nothing new.
    pub fn side_leaving(&mut self, now: Moment, side: &NodeName) {
        self.pool.update(now, side, |side| {
            side.is_leaving = true;
            side.credits.clear();
        });
    }

    /// A side granted credits.
    pub fn granted(
        &mut self,
        now: Moment,
        side: &NodeName,
        credits: &[Credit],
        resting: u16,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.note_resting(now, side, resting);
        self.keep(now, side, credits, false);
        self.pump(now, out);
    }

    fn keep(&mut self, now: Moment, side: &NodeName, credits: &[Credit], is_borrowed: bool) {
        let kept = self.pool.update(now, side, |side| {
            credits
                .iter()
                .filter(|credit| side.keep(now, **credit, is_borrowed))
                .count()
        });
        self.counters.credits_received += kept.unwrap_or(0) as u64;
    }

    /// A peer has tasks waiting and too few credits.
    pub fn peer_wants(
        &mut self,
        now: Moment,
        peer: &NodeName,
        demand: Demand,
        running: u32,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.peer_wants
            .entry(peer.clone())
            .and_modify(|want| want.state_again(now, demand, running))
            .or_insert_with(|| PeerWant::new(now, demand, running));
        self.counters.credits_lapsed += self.pool.drop_expired(now);
        self.pump(now, out);
    }

    /// A peer is gone, and what it wanted with it.
    pub fn forget_peer(&mut self, peer: &NodeName) {
        self.peer_wants.remove(peer);
    }

    /// A side said how many of its slots are neither taken nor granted.
    pub fn note_resting(&mut self, now: Moment, side: &NodeName, resting: u16) {
        self.pool.update(now, side, |side| side.resting = resting);
    }

    /// A peer lent credits.
    pub fn borrowed(
        &mut self,
        now: Moment,
        credits: Vec<SideCredit>,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.counters.credits_borrowed += credits.len() as u64;
        for lent in credits {
            self.keep(now, &lent.side, &[lent.credit], true);
        }
        self.pump(now, out);
    }

    // ---- submissions ----

    /// Takes a submission into the queue, or refuses it at once.
    pub fn submit(
        &mut self,
        now: Moment,
        submission: &Submission,
        definition: Service,
        out: &mut Vec<DispatchEffect>,
    ) -> Result<(), Refusal> {
        let count = submission.tasks.len() as u16;
        let ahead = self.queue.ahead_of(&submission.team, &submission.customer);
        let wait = self.expected_wait(now, &submission.service, &definition, ahead, count);
        let admitted = self.admit(now, submission, &definition, wait);
        if let Err(refusal) = admitted {
            let rule = Rule::Refused {
                reason: refusal.reason,
                expected_wait_ms: wait.as_millis() as u64,
            };
            out.push(DispatchEffect::Decided(Decision::new(submission.key, rule)));
            return Err(refusal);
        }
        let rule = Rule::Accepted {
            expected_wait_ms: wait.as_millis() as u64,
            ahead,
        };
        out.push(DispatchEffect::Decided(Decision::new(submission.key, rule)));
        self.enqueue(now, submission, definition);
        self.pump(now, out);
        Ok(())
    }

    fn enqueue(&mut self, now: Moment, submission: &Submission, definition: Service) {
        let count = submission.tasks.len() as u16;
        let limit = submission.deadline_ms.min(definition.max_deadline_ms);
        let deadline = now + Duration::from_millis(u64::from(limit));
        let key = submission.key;
        self.estimates
            .entry(submission.service.clone())
            .or_insert_with(|| ServiceEstimate::new(definition.typical()));
        self.queue.push(
            now,
            submission.team.clone(),
            submission.customer.clone(),
            submission.service.clone(),
            key,
            count,
            deadline,
        );
        self.deadlines.insert((deadline, key));
        self.counters.tasks_queued += u64::from(count);
        let active = ActiveSubmission {
            team: submission.team.clone(),
            customer: submission.customer.clone(),
            service: submission.service.clone(),
            definition,
            digest: submission.digest(),
            is_request: submission.kind == SubmissionKind::Request,
            payloads: submission.tasks.clone(),
            results: vec![None; usize::from(count)],
            missing: count,
            accepted_at: now,
            deadline,
            attempts: HashMap::new(),
            not_run: 0,
            may_have_run: false,
        };
        self.active.insert(key, active);
    }

    fn estimate(&self, service: &NodeName, definition: &Service) -> Duration {
        self.estimates
            .get(service)
            .map_or(definition.typical(), ServiceEstimate::mean)
    }

    /// How long the last of `count` new tasks would wait for its start.
    fn expected_wait(
        &self,
        now: Moment,
        service: &NodeName,
        definition: &Service,
        ahead: u32,
        count: u16,
    ) -> Duration {
        let before_last = (ahead + u32::from(count)).saturating_sub(self.pool.idle() as u32);
        if before_last == 0 {
            return Duration::ZERO;
        }
        let mean = self.estimate(service, definition).as_secs_f64();
        let slots = f64::from(self.pool.slots(service)) / f64::from(self.entries);
        let by_slots = slots / mean;
        let by_slots = by_slots.max(f64::MIN_POSITIVE);
        // What was achieved while tasks waited is better known than what slots promise.
        let rate = self.start_rate.per_second(now).unwrap_or(by_slots);
        Duration::try_from_secs_f64(f64::from(before_last) / rate).unwrap_or(Duration::MAX)
    }

    fn admit(
        &self,
        now: Moment,
        submission: &Submission,
        definition: &Service,
        wait: Duration,
    ) -> Result<(), Refusal> {
        let count = submission.tasks.len() as u32;
        let retry_after = wait.clamp(MIN_RETRY_AFTER, Duration::from_secs(10));
        let later = |reason| {
            let refusal = Refusal::not_run(reason);
            Err(refusal.retry_after_ms(retry_after.as_millis() as u32))
        };
        let has_target = self
            .pool
            .sides()
            .any(|(_, side)| !side.is_leaving && side.runs_service(&submission.service));
        if !has_target {
            let refusal = Refusal::not_run(RefusalReason::NoTarget);
            return Err(refusal.retry_after_ms(NO_TARGET_RETRY_AFTER_MS));
        }
        if self.queue.waiting() + count > self.max_waiting {
            return later(RefusalReason::QueueFull);
        }
        let limit = submission.deadline_ms.min(definition.max_deadline_ms);
        let deadline = Duration::from_millis(u64::from(limit));
        let run = self.estimate(&submission.service, definition);
        let is_busy = self.queue.waiting() > 0 && self.start_rate.per_second(now).is_some();
        if wait.saturating_add(run) > deadline {
            if is_busy && self.queue.is_over_limit(&submission.team) {
                return later(RefusalReason::OverQuota);
            }
            return later(RefusalReason::DeadlineTooClose);
        }
        Ok(())
    }

    /// Stops a submission whose answer is wanted no longer.
    pub fn cancel(&mut self, now: Moment, key: SubmissionKey, out: &mut Vec<DispatchEffect>) {
        self.fail(now, key, FailReason::HolderStopped, out);
        self.pump(now, out);
    }

    // ---- what sides report ----

    /// A task has ended on a side.
    #[allow(clippy::too_many_arguments)]
    pub fn answered(
        &mut self,
        now: Moment,
        side: &NodeName,
        incarnation: Incarnation,
        task: TaskId,
        outcome: TaskOutcome,
        run: Duration,
        next: Option<Credit>,
        out: &mut Vec<DispatchEffect>,
    ) {
        if let Some(credit) = next {
            self.keep(now, side, &[credit], false);
        }
        let matches =
            |attempt: &Attempt| attempt.side == *side && attempt.incarnation == incarnation;
        let Some(attempt) = self.take_attempt(now, task, matches) else {
            self.counters.unmatched_dropped += 1;
            self.pump(now, out);
            return;
        };
        self.counters.answers += 1;
        match outcome {
            TaskOutcome::Done(result) => {
                self.note_run(now, task, side, run, result.status);
                self.task_done(now, task, result, out);
            }
            TaskOutcome::NotRun(reason) => {
                self.pool.update(now, side, |side| side.note_refusal(now));
                self.attempt_not_run(now, task, attempt, reason, out);
            }
            TaskOutcome::Lost => {
                self.attempt_lost(now, task, attempt, FailReason::AnswerLost, out);
            }
            TaskOutcome::Stopped => {
                self.attempt_lost(now, task, attempt, FailReason::TaskStopped, out);
            }
        }
        self.pump(now, out);
    }

    /// A side did not start a task.
    #[allow(clippy::too_many_arguments)]
    pub fn not_run(
        &mut self,
        now: Moment,
        side: &NodeName,
        incarnation: Incarnation,
        task: TaskId,
        credit: CreditSeq,
        reason: NotRunReason,
        next: Option<Credit>,
        out: &mut Vec<DispatchEffect>,
    ) {
        if let Some(credit) = next {
            self.keep(now, side, &[credit], false);
        }
        let matches = |attempt: &Attempt| {
            attempt.side == *side && attempt.incarnation == incarnation && attempt.credit == credit
        };
        match self.take_attempt(now, task, matches) {
            Some(attempt) => self.attempt_not_run(now, task, attempt, reason, out),
            None => self.counters.unmatched_dropped += 1,
        }
        self.pump(now, out);
    }

    fn take_attempt(
        &mut self,
        now: Moment,
        task: TaskId,
        matches: impl Fn(&Attempt) -> bool,
    ) -> Option<Attempt> {
        let submission = self.active.get_mut(&task.key)?;
        let attempt = submission.take_attempt(task.index, matches)?;
        let team = submission.team.clone();
        self.pool.update(now, &attempt.side, |side| {
            side.note_received(attempt.at);
        });
        self.note_attempt_over(now, &team, &attempt);
        Some(attempt)
    }

    fn note_attempt_over(&mut self, now: Moment, team: &NodeName, attempt: &Attempt) {
        self.queue.note_ended(team);
        self.running = self.running.saturating_sub(1);
        self.pool.update(now, &attempt.side, |side| {
            side.running = side.running.saturating_sub(1);
        });
    }

    fn note_run(&mut self, now: Moment, task: TaskId, side: &NodeName, run: Duration, status: u16) {
        let service = &self.active[&task.key].service;
        let Some(estimate) = self.estimates.get_mut(service) else {
            return;
        };
        let ratio = run.as_secs_f64() / estimate.mean().as_secs_f64();
        let is_error = status >= ERROR_STATUS;
        if !is_error {
            estimate.record(run);
        }
        self.pool
            .update(now, side, |side| side.note_answer(now, ratio, is_error));
    }

    fn task_done(
        &mut self,
        now: Moment,
        task: TaskId,
        result: crate::message::TaskResult,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(submission) = self.active.get_mut(&task.key) else {
            return;
        };
        let place = &mut submission.results[usize::from(task.index)];
        debug_assert!(place.is_none(), "task {task:?} was answered before");
        *place = Some(result);
        submission.missing -= 1;
        if submission.missing > 0 {
            return;
        }
        let accepted_at = submission.accepted_at;
        let results = submission.results.iter_mut().filter_map(Option::take);
        let answer = SubmissionAnswer::Complete(results.collect());
        let decision = Decision::new(task.key, Rule::Completed).waited(now.since(accepted_at));
        out.push(DispatchEffect::Decided(decision));
        self.end(now, task.key, Verdict::Answered(answer), out);
    }

    /// The start is known not to have run, so the task may be started elsewhere.
    fn attempt_not_run(
        &mut self,
        now: Moment,
        task: TaskId,
        attempt: Attempt,
        reason: NotRunReason,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.count_not_run(reason);
        if reason == NotRunReason::Draining {
            self.side_leaving(now, &attempt.side);
        }
        let Some(submission) = self.active.get_mut(&task.key) else {
            return;
        };
        submission.not_run += 1;
        let other_attempt = submission.attempts.contains_key(&task.index);
        if other_attempt {
            return;
        }
        let only_waited = submission.attempts.is_empty()
            && usize::from(submission.missing) == submission.results.len();
        let too_often = submission.not_run > MAX_NOT_RUN + submission.results.len() as u32;
        if too_often || reason == NotRunReason::DeadlinePassed {
            if only_waited && !submission.may_have_run {
                let refusal = Refusal::not_run(RefusalReason::TargetsRefused)
                    .retry_after_ms(NO_TARGET_RETRY_AFTER_MS);
                self.end(now, task.key, Verdict::Refused(refusal), out);
                return;
            }
            return self.fail(now, task.key, FailReason::DeadlinePassed, out);
        }
        let queued = QueuedTask {
            task,
            service: submission.service.clone(),
            since: attempt.queued_at,
        };
        let (team, customer) = (submission.team.clone(), submission.customer.clone());
        let decision = Decision::new(task.key, Rule::NotRunAgain { reason })
            .task(task.index)
            .chosen(attempt.side, Vec::new());
        out.push(DispatchEffect::Decided(decision));
        self.queue.put_back(&team, &customer, queued);
    }

    fn count_not_run(&mut self, reason: NotRunReason) {
        let counter = match reason {
            NotRunReason::StaleCredit | NotRunReason::OldIncarnation => {
                &mut self.counters.retried_stale_credit
            }
            NotRunReason::Draining => &mut self.counters.retried_draining,
            NotRunReason::TargetRefused | NotRunReason::TargetDeclined => {
                &mut self.counters.retried_target_refused
            }
            NotRunReason::UnknownService
            | NotRunReason::DeadlinePassed
            | NotRunReason::Duplicate => &mut self.counters.retried_other,
        };
        *counter += 1;
    }

    /// The start may have run and its answer is lost.
    fn attempt_lost(
        &mut self,
        now: Moment,
        task: TaskId,
        attempt: Attempt,
        reason: FailReason,
        out: &mut Vec<DispatchEffect>,
    ) {
        let same = |other: &Attempt| *other == attempt;
        self.take_attempt(now, task, same);
        let Some(submission) = self.active.get_mut(&task.key) else {
            return;
        };
        submission.may_have_run = true;
        if submission.attempts.contains_key(&task.index) {
            return;
        }
        if submission.is_repeatable() && now < submission.deadline {
            if self.retry_budget.try_spend() {
                return self.start_again(task, attempt, out);
            }
            self.counters.retry_budget_empty += 1;
        }
        self.fail(now, task.key, reason, out);
    }

    fn start_again(&mut self, task: TaskId, attempt: Attempt, out: &mut Vec<DispatchEffect>) {
        let submission = &self.active[&task.key];
        let queued = QueuedTask {
            task,
            service: submission.service.clone(),
            since: attempt.queued_at,
        };
        let (team, customer) = (submission.team.clone(), submission.customer.clone());
        self.counters.retried_unknown += 1;
        let decision = Decision::new(task.key, Rule::UnknownAgain)
            .task(task.index)
            .chosen(attempt.side, Vec::new());
        out.push(DispatchEffect::Decided(decision));
        self.queue.put_back(&team, &customer, queued);
    }

    fn fail(
        &mut self,
        now: Moment,
        key: SubmissionKey,
        reason: FailReason,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(submission) = self.active.get(&key) else {
            return;
        };
        let nothing_sent = submission.attempts.is_empty()
            && !submission.may_have_run
            && usize::from(submission.missing) == submission.results.len();
        let rule = Rule::Failed { reason };
        let decision = Decision::new(key, rule).waited(now.since(submission.accepted_at));
        out.push(DispatchEffect::Decided(decision));
        if nothing_sent {
            self.counters.expired_in_queue += 1;
            let refusal = Refusal::not_run(RefusalReason::DeadlineTooClose)
                .retry_after_ms(MIN_RETRY_AFTER.as_millis() as u32);
            return self.end(now, key, Verdict::Refused(refusal), out);
        }
        let ran = Ran::Unknown;
        let answer = SubmissionAnswer::Failed { reason, ran };
        self.end(now, key, Verdict::Answered(answer), out);
    }

    /// Ends a submission: what waits is removed, what runs is stopped.
    fn end(
        &mut self,
        now: Moment,
        key: SubmissionKey,
        verdict: Verdict,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(submission) = self.active.remove(&key) else {
            return;
        };
        self.queue.remove(key);
        self.deadlines.remove(&(submission.deadline, key));
        for side in submission.running_sides() {
            self.counters.stops += 1;
            let message = EntryMessage::Stop { key };
            out.push(DispatchEffect::ToSide { side, message });
        }
        for attempt in submission.attempts.values().flatten() {
            if matches!(verdict, Verdict::Answered(SubmissionAnswer::Complete(_))) {
                self.counters.hedges_wasted += 1;
            }
            self.note_attempt_over(now, &submission.team, attempt);
        }
        out.push(DispatchEffect::Ended { key, verdict });
    }

    // ---- starting ----

    /// Spends credits on waiting tasks, here or at a peer that has something more urgent, until
    /// the one or the other runs out.
    fn pump(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        let mut lent: BTreeMap<NodeName, Vec<SideCredit>> = BTreeMap::new();
        while self.pool.idle() > 0 {
            if let Some(peer) = self.peer_to_serve(now, !lent.is_empty()) {
                if !self.lend_one(now, &peer, &mut lent) {
                    break;
                }
            } else if self.queue.waiting() == 0 || !self.start_next(now, out) {
                break;
            }
        }
        for (peer, credits) in lent {
            self.counters.credits_lent += credits.len() as u64;
            out.push(DispatchEffect::Lend { peer, credits });
        }
        if self.queue.waiting() > 0 {
            self.ask(now, out);
        }
    }

    /// The peer that the next idle credit goes to, if it does not stay here.
    ///
    /// While nothing waits here there is no hurry: a batch is collected first.
    fn peer_to_serve(&self, now: Moment, is_lending: bool) -> Option<NodeName> {
        if self.peer_wants.is_empty() {
            return None;
        }
        let own = self.queue.first_order();
        if own.is_none() && self.pool.idle() <= self.kept_credits() {
            return None;
        }
        let (peer, want) = self
            .peer_wants
            .iter()
            .filter(|(_, want)| want.counts(now) && want.goes_first(now, own, self.running))
            .min_by_key(|(_, want)| want.demand.urgency)?;
        let batch = want.demand.wanted.min(self.profile.lend_batch) as usize;
        let may_lend = is_lending || own.is_some() || self.pool.idle() >= batch;
        may_lend.then(|| peer.clone())
    }

    /// Idle credits that are not lent while nothing waits here.
    fn kept_credits(&self) -> usize {
        let all = self.running as usize + self.pool.idle();
        all * self.profile.keep_credits_percent as usize / 100
    }

    fn lend_one(
        &mut self,
        now: Moment,
        peer: &NodeName,
        lent: &mut BTreeMap<NodeName, Vec<SideCredit>>,
    ) -> bool {
        let Some(credit) = self.pool.lend_one(now) else {
            return false;
        };
        if let Some(want) = self.peer_wants.get_mut(peer) {
            want.note_lent();
        }
        lent.entry(peer.clone()).or_default().push(credit);
        true
    }

    fn start_next(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) -> bool {
        let pool = &self.pool;
        let cost = self.mean_cost_micros();
        let Some(queued) = self.queue.pop(cost, |service| pool.has_credit(service)) else {
            return false;
        };
        let task = queued.task;
        let Some((side, credit, candidates)) = self.pool.take(now, &queued.service, &[]) else {
            return false;
        };
        let had_to_wait = now > queued.since;
        self.start_rate.record(now, had_to_wait);
        self.retry_budget.note_first_start();
        let decision = Decision::new(task.key, Rule::BestCredit)
            .task(task.index)
            .chosen(side.clone(), candidates)
            .waited(now.since(queued.since));
        out.push(DispatchEffect::Decided(decision));
        self.send_start(now, task, side, credit, queued.since, out);
        true
    }

    fn mean_cost_micros(&self) -> u64 {
        let count = self.estimates.len().max(1) as u64;
        let sum: u64 = self
            .estimates
            .values()
            .map(|estimate| estimate.mean().as_micros() as u64)
            .sum();
        (sum / count).max(1)
    }

    fn send_start(
        &mut self,
        now: Moment,
        task: TaskId,
        side: NodeName,
        credit: CreditSeq,
        queued_at: Moment,
        out: &mut Vec<DispatchEffect>,
    ) {
        let demand = self.demand();
        let incarnation = self
            .pool
            .update(now, &side, |side| {
                side.told_at = Some(now);
                side.incarnation()
            })
            .expect("a credit was taken from this side");
        let estimate = self.estimates.values().next().map(ServiceEstimate::mean);
        let submission = self.active.get_mut(&task.key).expect("queued is active");
        let left = submission.deadline.since(now);
        let order = TaskOrder {
            task,
            count: submission.results.len() as u16,
            digest: submission.digest,
            service: submission.service.clone(),
            deadline_ms: left.as_millis() as u32,
            payload: submission.payloads[usize::from(task.index)].clone(),
        };
        let attempt = Attempt {
            side: side.clone(),
            incarnation,
            credit,
            at: now,
            queued_at,
        };
        submission
            .attempts
            .entry(task.index)
            .or_default()
            .push(attempt);
        let may_hedge = submission.is_repeatable() && self.profile.hedge_after_percent > 0;
        if may_hedge {
            let usual = estimate.unwrap_or(submission.definition.typical());
            let after = usual * self.profile.hedge_after_percent / 100;
            self.hedges.insert((now + after, task.key));
        }
        self.running += 1;
        self.note_peak(now);
        self.counters.starts += 1;
        let message = EntryMessage::Start {
            incarnation,
            credit,
            order,
            demand,
        };
        out.push(DispatchEffect::ToSide { side, message });
    }

    fn note_peak(&mut self, now: Moment) {
        let is_old = now.since(self.peak_at) > PEAK_WINDOW;
        if self.running >= self.peak_running || is_old {
            self.peak_running = self.running;
            self.peak_at = now;
        }
    }

    // ---- asking for credits ----

    /// What waits here.
    fn demand(&self) -> Demand {
        Demand {
            wanted: self.queue.waiting(),
            urgency: self.queue.first_order().unwrap_or(u64::MAX),
        }
    }

    /// Tasks wait and no credit is at hand: states the demand to sides with resting slots and to
    /// peers.
    fn ask(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        let demand = self.demand();
        let is_due = |side: &PooledSide| {
            let silent = side.told_at.map_or(Duration::MAX, |at| now.since(at));
            let is_worth_it = side.resting > 0 && silent >= DEMAND_INTERVAL;
            is_worth_it || silent >= BLIND_DEMAND_INTERVAL
        };
        let untold: Vec<NodeName> = self
            .pool
            .sides()
            .filter(|(_, side)| !side.is_leaving && !side.is_paused(now) && is_due(side))
            .map(|(name, _)| name.clone())
            .take(demand.wanted as usize)
            .collect();
        for side in untold {
            self.exchange(now, &side, Vec::new(), demand, out);
        }
        if self.entries > 1 {
            self.ask_peers(now, demand, out);
        }
    }

    /// Asks peers for credits for the first submission, if its own would take long.
    fn ask_peers(&mut self, now: Moment, demand: Demand, out: &mut Vec<DispatchEffect>) {
        let first = demand.urgency.min(u64::from(demand.wanted)) as u32;
        let wanted = Demand {
            wanted: first.max(1),
            urgency: demand.urgency,
        };
        let first = self.queue.first_key();
        let is_due = self.asked_peers.is_none_or(|(at, asked)| {
            let since = now.since(at);
            since >= DEMAND_INTERVAL || (first != asked && since >= self.ask_interval())
        });
        if !is_due || self.own_wait(wanted.wanted) < self.ask_interval() {
            return;
        }
        self.asked_peers = Some((now, first));
        self.counters.peer_asks += 1;
        let running = self.running;
        let demand = wanted;
        out.push(DispatchEffect::AskPeers { demand, running });
    }

    /// How long this entry's own credits would take to start this many tasks.
    fn own_wait(&self, tasks: u32) -> Duration {
        let mean = Duration::from_micros(self.mean_cost_micros());
        if self.running == 0 {
            return mean;
        }
        mean * tasks / self.running
    }

    fn exchange(
        &mut self,
        now: Moment,
        side: &NodeName,
        returned: Vec<CreditSeq>,
        demand: Demand,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(incarnation) = self.pool.update(now, side, |side| {
            side.told_at = Some(now);
            // If some are left, the side's answer says so.
            side.resting = 0;
            side.incarnation()
        }) else {
            return;
        };
        self.counters.exchanges += 1;
        let message = EntryMessage::Exchange {
            incarnation,
            returned,
            demand,
        };
        let side = side.clone();
        out.push(DispatchEffect::ToSide { side, message });
    }

    /// Idle credits worth keeping alive: recent use and a reserve.
    fn reserve(&self) -> usize {
        self.peak_running as usize + self.profile.idle_reserve as usize
    }

    fn ask_for_reserve(&mut self, now: Moment, side: &NodeName, out: &mut Vec<DispatchEffect>) {
        let lacking = self.reserve().saturating_sub(self.pool.idle()) as u32;
        let slots = self
            .pool
            .side(side)
            .map_or(0, |side| u32::from(side.hello.slots));
        let share = slots.div_ceil(self.entries);
        let wanted = share.min(lacking).max(self.queue.waiting().min(slots));
        if wanted > 0 {
            let urgency = self.demand().urgency;
            let demand = Demand { wanted, urgency };
            self.exchange(now, side, Vec::new(), demand, out);
        }
    }

    /// Exchanges idle credits that near their end, up to the reserve; the rest may lapse.
    fn renew(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        self.renewed_at = now;
        self.counters.credits_lapsed += self.pool.drop_expired(now);
        let mut allowed = self.reserve();
        let due: Vec<(NodeName, usize, usize)> = self
            .pool
            .sides()
            .map(|(name, side)| {
                let ending = side.ending(now).count();
                (name.clone(), ending, side.credits.len() - ending)
            })
            .collect();
        for (side, ending, fresh) in due {
            allowed = allowed.saturating_sub(fresh);
            let renewed = ending.min(allowed);
            allowed -= renewed;
            if renewed == 0 {
                continue;
            }
            let returned = self.take_ending(now, &side, renewed);
            let demand = Demand {
                wanted: renewed as u32,
                urgency: self.demand().urgency,
            };
            self.exchange(now, &side, returned, demand, out);
        }
    }

    fn take_ending(&mut self, now: Moment, side: &NodeName, most: usize) -> Vec<CreditSeq> {
        let taken = self.pool.update(now, side, |side| {
            let seqs: Vec<CreditSeq> = side.ending(now).take(most).collect();
            side.credits.retain(|credit| !seqs.contains(&credit.seq));
            seqs
        });
        taken.unwrap_or_default()
    }

    // ---- time ----

    /// Time has passed: deadlines, hedges, pauses, renewals and open demand.
    pub fn tick(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        while let Some((at, key)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            self.fail(now, key, FailReason::DeadlinePassed, out);
            self.deadlines.remove(&(at, key));
        }
        self.pool.resume_paused(now);
        self.start_due_hedges(now, out);
        if now.since(self.renewed_at) >= RENEW_INTERVAL {
            self.renew(now, out);
        }
        self.pump(now, out);
    }

    fn start_due_hedges(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        while let Some((at, key)) = self.hedges.first().copied() {
            if at > now {
                return;
            }
            self.hedges.remove(&(at, key));
            self.hedge(now, key, out);
        }
    }

    /// Starts a second attempt of a repeatable request that has one slow attempt.
    fn hedge(&mut self, now: Moment, key: SubmissionKey, out: &mut Vec<DispatchEffect>) {
        let Some(submission) = self.active.get(&key) else {
            return;
        };
        let task = TaskId { key, index: 0 };
        let attempts = submission.attempts.get(&0).map_or(&[][..], Vec::as_slice);
        let [only] = attempts else {
            return;
        };
        let (slow, queued_at) = (only.side.clone(), only.queued_at);
        let service = submission.service.clone();
        let team = submission.team.clone();
        // A hedge takes spare capacity only.
        if self.queue.waiting() > 0 || !self.pool.has_credit(&service) {
            return;
        }
        if !self.retry_budget.try_spend() {
            self.counters.retry_budget_empty += 1;
            return;
        }
        let Some((side, credit, candidates)) = self.pool.take(now, &service, &[slow]) else {
            return;
        };
        self.counters.hedges += 1;
        self.queue.note_extra_start(&team);
        let decision = Decision::new(key, Rule::Hedge)
            .task(0)
            .chosen(side.clone(), candidates)
            .waited(now.since(queued_at));
        out.push(DispatchEffect::Decided(decision));
        self.send_start(now, task, side, credit, queued_at, out);
    }
}

fn slack_micros(profile: &Profile) -> u64 {
    u64::from(profile.fairness_slack_s) * 1_000_000
}
