//! Capacity that sides have granted to this entry. It is used at once, returned, or dropped when the grant expires.

use std::sync::Arc;
use std::time::Duration;

use super::job_scheduler::JobScheduler;
use super::{OrderKey, SchedulerDecision};
use crate::job::{Capacity, CapacityGrant, QueuePolicy, WaitingNeed};
use crate::types::Moment;

/// Maximum time for which a start that finds its capacity taken may wait at the side, in milliseconds. On a target with
/// ten tasks one of them ends about this often, and the search for another target takes a fraction of this time.
const MAX_SIDE_WAIT_MS: u32 = 25;
/// Minimum number of sides that are notified at once of a more urgent need. One side is notified for each waiting task,
/// but not every side has capacity.
const MIN_SIDES_NOTIFIED: usize = 2;
/// Maximum number of sides that are notified at once. The others learn of the need with their next heartbeats.
const MAX_SIDES_NOTIFIED: usize = 8;
/// Factor by which a need has to exceed the reported one to be reported again at once.
const MUCH_LARGER_FACTOR: u32 = 2;
/// Time after which a need that still exists is reported again. The capacity that it could get has been granted by
/// then.
const REPORTED_AGAIN_AFTER: Duration = Duration::from_millis(20);

/// Grant of capacity by a side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldGrant {
    /// Capacity that the entry may use for starts.
    pub(crate) capacity: Capacity,
    /// Time at which the grant expires.
    pub(crate) until: Moment,
    /// Whether the grant was made for tasks that wait at this entry. What is left of such a grant is returned.
    pub(crate) is_needed: bool,
}

impl HeldGrant {
    /// Returns a grant that was received now.
    pub(crate) fn new(now: Moment, grant: &CapacityGrant, is_needed: bool) -> Self {
        Self {
            capacity: grant.capacity,
            until: now + grant.valid(),
            is_needed,
        }
    }
}

/// Need of the waiting tasks that was last reported to sides between heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReportedNeed {
    rank: u8,
    cpu_millis: u32,
    /// Processor need of the waiting tasks when they were last checked, in thousandths of a core.
    left: u32,
    at: Moment,
}

impl ReportedNeed {
    /// Returns whether sides have to be notified at once of the tasks that wait now, and records how much waits.
    fn must_be_reported(&mut self, now: Moment, need: &WaitingNeed) -> bool {
        let cpu_millis = need.required_capacity.cpu_millis;
        let is_same = need.rank == self.rank;
        let is_more = cpu_millis > self.left;
        self.left = cpu_millis;
        let is_old = now.since(self.at) >= REPORTED_AGAIN_AFTER;
        let is_much_more = cpu_millis >= self.cpu_millis.saturating_mul(MUCH_LARGER_FACTOR);
        // Jobs that go before all new jobs have only a few milliseconds left until they are refused.
        let is_urgent = is_same && is_more && OrderKey::goes_before_new_jobs(need.rank);
        is_old || need.rank < self.rank || is_much_more || is_urgent
    }
}

impl JobScheduler {
    /// Returns whether sides are asked to grant capacity that is short.
    pub(super) fn uses_capacity_grants(&self) -> bool {
        self.has_ranked_queues && self.settings.scarcity.grants
    }

    /// Records that a job was submitted to a queue that competes by priority. At the first such job, the sides are
    /// notified at once that capacity has to be granted.
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

    /// Returns whether new jobs of a queue go before jobs of other queues that have begun.
    ///
    /// Where capacity is granted, this is true for the most urgent of the competing queues only. New jobs of the other
    /// queues would take, piece by piece, the capacity that begun jobs need.
    pub(super) fn goes_before_begun(&self, policy: &QueuePolicy) -> bool {
        let first = self.most_urgent_priorities.get(&policy.service);
        let is_first = first.is_some_and(|first| policy.priority <= *first);
        self.uses_capacity_grants() && policy.is_ranked && is_first
    }

    /// Returns the maximum time for which starts may wait at sides, in milliseconds; 0 where capacity is not granted.
    pub(super) fn may_wait_ms(&self) -> u32 {
        match self.uses_capacity_grants() {
            true => MAX_SIDE_WAIT_MS,
            false => 0,
        }
    }

    /// Drops grants that have expired.
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

    /// Notifies some sides at once if a more urgent need than the reported one exists, or a much larger one.
    pub(super) fn report_new_need(&mut self, now: Moment) {
        if !self.uses_capacity_grants() {
            return;
        }
        let Some(need) = self.waiting_need(now) else {
            return;
        };
        let cpu_millis = need.required_capacity.cpu_millis;
        let reported = self.reported_need.as_mut();
        if !reported.is_none_or(|reported| reported.must_be_reported(now, &need)) {
            return;
        }
        self.reported_need = Some(ReportedNeed {
            rank: need.rank,
            cpu_millis,
            left: cpu_millis,
            at: now,
        });
        let tasks = cpu_millis / need.smallest_task.cpu_millis.max(1);
        let max = (tasks as usize).clamp(MIN_SIDES_NOTIFIED, MAX_SIDES_NOTIFIED);
        self.counters.needs_told += 1;
        let sides = self.mark_notified(max);
        self.record_decision(SchedulerDecision::NeedReported {
            rank: need.rank,
            cpu_millis,
            sides,
        });
        self.sides_due = Some(now);
    }

    /// Marks the next sides in turn that take work, at most `max` of them, to be notified at once. Returns their
    /// number.
    fn mark_notified(&mut self, max: usize) -> usize {
        let sides = self.sides.len();
        let mut notified = 0;
        for _ in 0..sides {
            if notified == max {
                break;
            }
            self.last_notified = (self.last_notified + 1) % sides;
            if let Some((_, side)) = self.sides.get_index_mut(self.last_notified)
                && side.takes_work()
            {
                side.needs_heartbeat = true;
                notified += 1;
            }
        }
        notified
    }
}
