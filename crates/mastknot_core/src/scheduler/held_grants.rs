//! Room that sides have granted to this entry: used at once, returned, or dropped when its time is over.

use std::sync::Arc;
use std::time::Duration;

use super::job_scheduler::JobScheduler;
use super::{OrderKey, SchedulerDecision};
use crate::job::{Capacity, CapacityGrant, QueuePolicy, WaitingNeed};
use crate::types::Moment;

/// A start that finds its room taken may wait for so long at the side, in milliseconds: a target of ten tasks ends
/// one about as often, and to look for another place takes a fraction of that.
const MAX_SIDE_WAIT_MS: u32 = 25;
/// At least so many sides are told of something more urgent, besides one for each task that waits: not every one has room.
const MIN_SIDES_NOTIFIED: usize = 2;
/// At most so many are told at once; others hear it with the next heartbeats.
const MAX_SIDES_NOTIFIED: usize = 8;
/// So many times the room that was told of is much more of it.
const MUCH_LARGER_FACTOR: u32 = 2;
/// A need that was told so long ago is told again if it is still there: what it could get has been granted.
const REPORTED_AGAIN_AFTER: Duration = Duration::from_millis(20);

/// A grant of a side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldGrant {
    /// What the entry may start.
    pub(crate) capacity: Capacity,
    /// Until when.
    pub(crate) until: Moment,
    /// Whether it was made for what waits here: what is left is returned.
    pub(crate) is_needed: bool,
}

impl HeldGrant {
    /// A grant that has come now.
    pub(crate) fn new(now: Moment, grant: &CapacityGrant, is_needed: bool) -> Self {
        Self {
            capacity: grant.capacity,
            until: now + grant.valid(),
            is_needed,
        }
    }
}

/// What sides were last told at once of what waits here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReportedNeed {
    rank: u8,
    cpu_millis: u32,
    /// What waited of it when it was last looked at.
    left: u32,
    at: Moment,
}

impl ReportedNeed {
    /// Whether sides are to hear at once of what waits now.
    fn must_be_reported(&mut self, now: Moment, need: &WaitingNeed) -> bool {
        let cpu_millis = need.required_capacity.cpu_millis;
        let is_same = need.rank == self.rank;
        let is_more = cpu_millis > self.left;
        self.left = cpu_millis;
        let is_old = now.since(self.at) >= REPORTED_AGAIN_AFTER;
        let is_much_more = cpu_millis >= self.cpu_millis.saturating_mul(MUCH_LARGER_FACTOR);
        // What goes before all that is new has few milliseconds until it is refused.
        let is_urgent = is_same && is_more && OrderKey::goes_before_new_jobs(need.rank);
        is_old || need.rank < self.rank || is_much_more || is_urgent
    }
}

impl JobScheduler {
    /// Whether sides are asked to grant room that is short.
    pub(super) fn uses_capacity_grants(&self) -> bool {
        self.has_ranked_queues && self.settings.scarcity.grants
    }

    /// A job has come to a queue that competes by priority: the sides hear at once that room is to be granted.
    pub(super) fn record_ranked_queue(&mut self, now: Moment, policy: &QueuePolicy) {
        let service = Arc::clone(&policy.service);
        let first = self
            .most_urgent_priorities
            .entry(service)
            .or_insert(u32::MAX);
        *first = policy.priority.min(*first);
        if std::mem::replace(&mut self.has_ranked_queues, true) || !self.uses_capacity_grants() {
            return;
        }
        let used = self.sides.values_mut();
        let used = used.filter(|side| side.takes_work());
        used.for_each(|side| side.needs_heartbeat = true);
        self.sides_due = Some(now);
    }

    /// Whether jobs of this queue go before what has begun at others: where room is granted the most urgent of the
    /// queues that compete waits for nobody. Others would take, piece by piece, the room that begun jobs need.
    pub(super) fn goes_before_begun(&self, policy: &QueuePolicy) -> bool {
        let first = self.most_urgent_priorities.get(&policy.service);
        let is_first = first.is_some_and(|first| policy.priority <= *first);
        self.uses_capacity_grants() && policy.is_ranked && is_first
    }

    /// How long starts may wait at sides, in milliseconds.
    pub(super) fn may_wait_ms(&self) -> u32 {
        match self.uses_capacity_grants() {
            true => MAX_SIDE_WAIT_MS,
            false => 0,
        }
    }

    /// Grants whose time is over count no more.
    pub(super) fn expire_grants(&mut self, now: Moment) {
        if self.grants_expire_at.is_none_or(|end| now < end) {
            return;
        }
        let is_old = |grant: &HeldGrant| grant.until <= now;
        for side in self.sides.values_mut() {
            if side.grant.as_ref().is_some_and(is_old) {
                side.drop_grant();
            }
        }
        let grants = self.sides.values().filter_map(|side| side.grant);
        self.grants_expire_at = grants.map(|grant| grant.until).min();
    }

    /// Something more urgent than was told waits now, or much more of it: some sides are told at once.
    pub(super) fn report_new_need(&mut self, now: Moment) {
        if !self.uses_capacity_grants() {
            return;
        }
        let Some(need) = self.waiting_need(now) else {
            return;
        };
        let cpu_millis = need.required_capacity.cpu_millis;
        let told = self.reported_need.as_mut();
        if !told.is_none_or(|told| told.must_be_reported(now, &need)) {
            return;
        }
        self.reported_need = Some(ReportedNeed {
            rank: need.rank,
            cpu_millis,
            left: cpu_millis,
            at: now,
        });
        let tasks = cpu_millis / need.smallest_task.cpu_millis.max(1);
        let most = (tasks as usize).clamp(MIN_SIDES_NOTIFIED, MAX_SIDES_NOTIFIED);
        self.counters.needs_told += 1;
        let sides = self.mark_notified(most);
        self.record_decision(SchedulerDecision::NeedReported {
            rank: need.rank,
            cpu_millis,
            sides,
        });
        self.sides_due = Some(now);
    }

    /// The next few sides in turn that take work are told at once; returns how many.
    fn mark_notified(&mut self, most: usize) -> usize {
        let sides = self.sides.len();
        let mut told = 0;
        for _ in 0..sides {
            if told == most {
                break;
            }
            self.last_notified = (self.last_notified + 1) % sides;
            if let Some((_, side)) = self.sides.get_index_mut(self.last_notified)
                && side.takes_work()
            {
                side.needs_heartbeat = true;
                told += 1;
            }
        }
        told
    }
}
