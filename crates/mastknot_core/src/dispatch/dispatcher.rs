use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::active_submission::ActiveSubmission;
use super::credit_pool::CreditPool;
use super::peer_want::PeerWant;
use super::pooled_side::PooledSide;
use super::{DispatchCounters, DispatchEffect, FairQueue, JobOrder, RetryBudget, ServiceEstimate};
use crate::admission::StartRate;
use crate::config::Profile;
use crate::message::FailReason;
use crate::types::{Hall, Incarnation, Moment, NodeName, SubmissionKey};

/// How often idle credits are checked for renewal.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);

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
    pub(super) profile: Profile,
    pub(super) pool: CreditPool,
    pub(super) queue: FairQueue,
    pub(super) active: HashMap<SubmissionKey, ActiveSubmission>,
    pub(super) deadlines: BTreeSet<(Moment, SubmissionKey)>,
    pub(super) hedges: BTreeSet<(Moment, SubmissionKey)>,
    pub(super) estimates: HashMap<NodeName, ServiceEstimate>,
    pub(super) retry_budget: RetryBudget,
    pub(super) start_rate: StartRate,
    pub(super) counters: DispatchCounters,
    pub(super) max_waiting: u32,
    pub(super) entries: u32,
    pub(super) running: u32,
    pub(super) peak_running: u32,
    pub(super) peak_at: Moment,
    pub(super) renewed_at: Moment,
    pub(super) asked_sides_at: Option<Moment>,
    /// When peers were last asked, and for which submission.
    pub(super) asked_peers: Option<(Moment, Option<SubmissionKey>)>,
    pub(super) peer_wants: BTreeMap<NodeName, PeerWant>,
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
            asked_sides_at: None,
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

    pub(super) fn ask_interval(&self) -> Duration {
        Duration::from_millis(u64::from(self.profile.ask_interval_ms))
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
}

fn slack_micros(profile: &Profile) -> u64 {
    u64::from(profile.fairness_slack_s) * 1_000_000
}
