use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::active_submission::ActiveSubmission;
use super::credit_pool::CreditPool;
use super::peer_request::PeerRequest;
use super::pooled_side::PooledSide;
use super::{DispatchCounters, DispatchEffect, FairQueue, JobOrder, RetryBudget, ServiceEstimate};
use crate::admission::StartRate;
use crate::config::Profile;
use crate::message::FailReason;
use crate::types::{Hall, Incarnation, Moment, NodeName, SubmissionKey};

/// Time between two checks of idle credits for renewal.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);

/// Status of a side as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SideStatus {
    /// Name of the side.
    pub side: NodeName,
    /// Incarnation of the side's process.
    pub incarnation: Incarnation,
    /// Hall of the side.
    pub hall: Hall,
    /// Number of slots of the side's target.
    pub slots: u16,
    /// Number of tasks of this entry that run on the side.
    pub running: u32,
    /// Number of idle credits of the side that this entry holds.
    pub idle: u32,
    /// Placement score of the side; lower is better.
    pub score: u32,
    /// Moving mean of the run times on this side, relative to the mean run times of the services. 1
    /// is average.
    pub slowness: f64,
    /// Whether the side is paused after refusals or errors.
    pub is_paused: bool,
    /// Whether the side is leaving and gets no new tasks.
    pub is_leaving: bool,
}

/// Queues, places, retries and ends the submissions of one entry.
///
/// A task waits at the entry until a credit is available (late binding). A credit is then spent on
/// the task that goes first by fairness at that moment.
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
    pub(super) sides_asked_at: Option<Moment>,
    /// Time of the last request for credits to peers, and the submission that it was for.
    pub(super) last_peer_request: Option<(Moment, Option<SubmissionKey>)>,
    pub(super) peer_requests: BTreeMap<NodeName, PeerRequest>,
}

impl Dispatcher {
    /// Returns an empty dispatcher for an entry in `hall` that queues at most `max_waiting` tasks.
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
            sides_asked_at: None,
            last_peer_request: None,
            peer_requests: BTreeMap::new(),
        }
    }

    /// Sets the order in which a customer's submissions are started. Must be called before the
    /// first submission is queued.
    pub fn job_order(mut self, order: JobOrder) -> Self {
        debug_assert!(self.active.is_empty(), "submissions are queued already");
        self.queue = FairQueue::new(order);
        self.queue.set_slack(slack_micros(&self.profile));
        self
    }

    /// Applies a changed profile.
    pub fn set_profile(&mut self, profile: Profile) {
        self.retry_budget.set_percent(profile.retry_budget_percent);
        self.queue.set_slack(slack_micros(&profile));
        self.profile = profile;
    }

    /// Sets the number of entries that share the sides.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Sets a team's weight and the number of tasks that it may run here while other teams wait.
    pub fn set_team(&mut self, team: &NodeName, weight: u32, limit: u32) {
        self.queue.set_team(team, weight, limit);
    }

    /// Returns the counters.
    pub fn counters(&self) -> DispatchCounters {
        self.counters
    }

    /// Returns the number of waiting tasks.
    pub fn waiting(&self) -> u32 {
        self.queue.waiting()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of submissions without an answer.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of idle credits.
    pub fn idle_credits(&self) -> usize {
        self.pool.idle()
    }

    /// Returns the number of running tasks by team. Entries exchange it to share the teams' quotas.
    pub fn running_by_team(&self) -> Vec<(NodeName, u32)> {
        self.queue.running_by_team()
    }

    /// Returns the status of each side as reported to operators.
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

    /// Returns the number of answered tasks and the total number of tasks of a submission. Returns
    /// `None` if the submission is not active.
    pub fn progress(&self, key: SubmissionKey) -> Option<(u16, u16)> {
        let submission = self.active.get(&key)?;
        let count = submission.results.len() as u16;
        Some((count - submission.missing, count))
    }

    /// Returns the time at which [`Dispatcher::tick`] must be called next, if at all.
    pub fn next_tick(&self, now: Moment) -> Option<Moment> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let hedge = self.hedges.first().map(|(at, _)| *at);
        let renew = (self.pool.idle() > 0).then(|| self.renewed_at + RENEW_INTERVAL);
        let next_request = (self.queue.waiting() > 0).then(|| now + self.ask_interval());
        let paused = self.pool.sides().map(|(_, side)| side.paused_until());
        let resume = paused.filter(|until| *until > now).min();
        [deadline, hedge, renew, next_request, resume]
            .into_iter()
            .flatten()
            .min()
    }

    pub(super) fn ask_interval(&self) -> Duration {
        Duration::from_millis(u64::from(self.profile.ask_interval_ms))
    }

    // ---- time ----

    /// Handles the passage of time: ends submissions at their deadline, starts hedges, resumes
    /// paused sides, renews credits and repeats open demand.
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
        self.spend_credits(now, out);
    }
}

fn slack_micros(profile: &Profile) -> u64 {
    u64::from(profile.fairness_slack_s) * 1_000_000
}
