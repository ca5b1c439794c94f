//! Grants of scarce capacity. Each piece of capacity belongs to one entry at a time, for a short
//! time.
//!
//! Capacity that is free, or becomes free within about a round trip, is granted to entries with
//! waiting tasks, by urgency. Capacity that no entry is known to need is granted to the entries in
//! turn, so that each entry holds some capacity for its next job. A start within a grant finds
//! capacity immediately, or is queued here until the run that is about to end has ended.

use std::time::Duration;

use super::AgentDecision;
use super::expected_ends::{expected_capacity, next_expected_end};
use super::offers::CapacityOffer;
use super::owners::{Duty, Owner, OwnerKey};
use super::queued_starts::QueuedStart;
use super::side_load::waiting_by_rank;
use super::target_agent::TargetAgent;
use crate::job::{
    Capacity, CapacityGrant, EndOfRun, EndedRun, NotRunCause, RunId, SideLoad, StartOrder,
};
use crate::types::Moment;

/// Time before capacity becomes free at which it is granted. A report, a decision and an order take
/// about as long.
const GRANT_AHEAD: Duration = Duration::from_millis(6);
/// Time for which an entry may use a grant after the report of it. An entry normally uses or
/// returns a grant at once.
const VALID_FOR: Duration = Duration::from_millis(30);
/// Time for which an entry may use a grant that no waiting task is known to need. It is about one
/// heartbeat, so that most of these grants are used, or renewed by a report that is sent anyway.
const STANDING_FOR: Duration = Duration::from_millis(60);
/// Share of the target, in thousandths, from which unassigned capacity is reported to all entries.
/// Several entries may start runs there within the time that a report takes.
pub(super) const GRANTS_SHOWN_FROM_PERMILLE: u32 = 600;

/// Additional time for which the side keeps a grant, because the report and the start are in
/// transit meanwhile.
const KEPT_LONGER: Duration = Duration::from_millis(20);

/// Decision on a start order that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartDecision {
    /// The order is sent to the target immediately.
    Now,
    /// The start is queued until capacity becomes free.
    Wait {
        /// Time until which the start may wait.
        until: Moment,
    },
    /// The start is refused.
    Refuse(NotRunCause),
}

impl TargetAgent {
    /// Returns whether any entry that starts runs here has queues that compete by priority.
    pub(super) fn is_granting(&self) -> bool {
        let mut owners = self.owners.values();
        owners.any(|owner| owner.grants_capacity && owner.duty == Duty::Active)
    }

    /// Returns the capacity that is free, or expected to become free by the time `until`, and that
    /// is not promised to any entry.
    fn grantable(&self, now: Moment, until: Moment) -> Capacity {
        let slowdown = self.slowdown.percent();
        if !self.condition.takes_work() {
            return Capacity::default();
        }
        let coming = expected_capacity(&self.runs, now, until, slowdown);
        self.free_capacity().with(&coming).without(&self.promised())
    }

    /// Returns the capacity that is promised to entries: their grants and their queued starts.
    pub(super) fn promised(&self) -> Capacity {
        let offers = self.owners.values().filter_map(|owner| owner.offer);
        let queued = self.queued.capacity();
        offers.fold(queued, |sum, offer| sum.with(&offer.left))
    }

    /// Grants capacity that is free or is about to become free.
    pub(super) fn make_grants(&mut self, now: Moment) {
        loop {
            let capacity = self.grantable(now, now + GRANT_AHEAD);
            let Some(key) = self.next_in_turn(now, &capacity) else {
                break;
            };
            self.record_waiting_halls();
            self.grant(now, &key, &capacity);
        }
        self.grant_standing(now);
    }

    /// Grants capacity that no entry is known to need to one entry in turn, once this capacity is
    /// too small to be reported to all.
    fn grant_standing(&mut self, now: Moment) {
        let share = self.expected_unreserved().min_permille_of(&self.capacity());
        let capacity = self.unreserved();
        let is_usable = capacity.covers(&self.smallest_run()) && capacity.cpu_millis > 0;
        if share >= GRANTS_SHOWN_FROM_PERMILLE {
            self.shown_until = now + self.settings.idle_report_delay + KEPT_LONGER;
        }
        if now < self.shown_until || !is_usable {
            return;
        }
        let may_have = |owner: &Owner| {
            let is_linked = owner.is_resumed && owner.session.is_some();
            is_linked && owner.duty == Duty::Active && owner.offer.is_none()
        };
        let able = self.owners.iter().filter(|(_, owner)| may_have(owner));
        // An entry that receives the end of a run anyway needs no extra message.
        let next = able.min_by_key(|(_, owner)| (owner.ended.is_empty(), owner.standing_turn));
        let Some(key) = next.map(|(key, _)| key.clone()) else {
            return;
        };
        self.standing_grants += 1;
        let turn = self.standing_grants;
        if let Some(owner) = self.owners.get_mut(&key) {
            owner.standing_turn = turn;
            owner.offer = Some(CapacityOffer::new(
                capacity,
                now + STANDING_FOR + KEPT_LONGER,
                false,
            ));
        }
        self.record_decision(AgentDecision::Granted {
            entry: key.entry,
            cpu_millis: capacity.cpu_millis,
            is_standing: true,
        });
    }

    /// Returns the capacity of the smallest run. Anything smaller is of no use.
    fn smallest_run(&self) -> Capacity {
        let capacities = self.runs.iter().map(|(_, run)| run.capacity);
        let smallest = capacities.reduce(|smallest, capacity| smallest.smaller_of(&capacity));
        smallest.unwrap_or_default()
    }

    /// Grants capacity to an entry with waiting tasks.
    fn grant(&mut self, now: Moment, key: &OwnerKey, capacity: &Capacity) {
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        let need = owner.need.clone().unwrap_or_default();
        let left = capacity.smaller_of(&need.required_capacity);
        owner.advance_turn(&left, &need);
        owner.offer = Some(CapacityOffer::new(
            left,
            now + VALID_FOR + KEPT_LONGER,
            true,
        ));
        self.record_decision(AgentDecision::Granted {
            entry: key.entry.clone(),
            cpu_millis: left.cpu_millis,
            is_standing: false,
        });
    }

    /// Returns the grant of an entry in the form in which the side reports it.
    pub(super) fn grant_of(&self, now: Moment, owner: &Owner) -> Option<CapacityGrant> {
        let offer = owner.offer.filter(|_| self.is_granting())?;
        let valid = match offer.number {
            0 if offer.is_needed => VALID_FOR,
            0 => STANDING_FOR,
            _ => offer.until.since(now).saturating_sub(KEPT_LONGER),
        };
        let free = self.free_capacity().without(&self.queued.capacity());
        (!valid.is_zero()).then(|| CapacityGrant {
            capacity: offer.left,
            ahead: offer.left.without(&free),
            valid_ms: valid.as_millis() as u32,
        })
    }

    /// Returns the time until which the side keeps a grant that is reported to its entry now.
    pub(super) fn grant_kept_until(
        &self,
        now: Moment,
        offer: Option<CapacityOffer>,
    ) -> Option<Moment> {
        let valid = match offer?.is_needed {
            true => VALID_FOR,
            false => STANDING_FOR,
        };
        self.is_granting().then(|| now + valid + KEPT_LONGER)
    }

    /// Returns the unassigned free capacity minus the capacity that entries are likely to take
    /// before all entries have received a report. The estimate is the capacity that entries took
    /// within the time that a report takes.
    pub(super) fn expected_unreserved(&self) -> Capacity {
        let since = self.last_event_at - self.settings.idle_report_delay;
        let recent = self.runs.iter().filter(|(_, run)| run.since > since);
        let recent = recent.fold(Capacity::default(), |sum, (_, run)| sum.with(&run.capacity));
        self.unreserved().without(&recent)
    }

    /// Records that a start has used a part of the capacity that its entry needs.
    pub(super) fn record_served(&mut self, key: &OwnerKey, capacity: &Capacity) {
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        // The entry accounts for its own starts.
        owner.reported.free = owner.reported.free.without(capacity);
        if let Some(need) = &mut owner.need {
            need.required_capacity = need.required_capacity.without(capacity);
        }
        owner
            .need
            .take_if(|need| !need.required_capacity.covers(&need.smallest_task));
        // A remainder that holds no further task of its entry would be reserved without use.
        let smallest = owner
            .need
            .as_ref()
            .map_or(*capacity, |need| need.smallest_task);
        if owner
            .offer
            .is_some_and(|offer| !offer.left.covers(&smallest))
        {
            owner.drop_offer(true);
        }
    }

    /// Decides whether a start is sent to the target, queued or refused for lack of capacity. Other
    /// causes for a refusal are checked before.
    pub(super) fn admit(&self, now: Moment, key: &OwnerKey, start: &StartOrder) -> StartDecision {
        if !self.is_granting() {
            return match self.available_to(key).covers(&start.required_capacity) {
                true => StartDecision::Now,
                false => StartDecision::Refuse(NotRunCause::NoRoom),
            };
        }
        let capacity = &start.required_capacity;
        let may_wait = Duration::from_millis(u64::from(start.may_wait_ms));
        let offer = self.owners.get(key).and_then(|owner| owner.offer);
        if let Some(offer) = offer.filter(|offer| offer.left.covers(capacity)) {
            let free = self.free_capacity().without(&self.queued.capacity());
            let until = offer.until.max(now + may_wait);
            return match free.covers(capacity) {
                true => StartDecision::Now,
                false => StartDecision::Wait { until },
            };
        }
        let offered = offer.map(|offer| offer.left).unwrap_or_default();
        let free = self.free_capacity().without(&self.queued.capacity());
        if free.covers(capacity) && self.unreserved().with(&offered).covers(capacity) {
            return StartDecision::Now;
        }
        let until = now + may_wait;
        let is_expected = self.grantable(now, until).with(&offered).covers(capacity);
        match is_expected && start.may_wait_ms > 0 {
            true => StartDecision::Wait { until },
            false => StartDecision::Refuse(NotRunCause::NoRoom),
        }
    }

    /// Queues a start until capacity becomes free.
    pub(super) fn queue_start(
        &mut self,
        now: Moment,
        key: &OwnerKey,
        order: StartOrder,
        until: Moment,
    ) {
        self.use_offer(key, &order.required_capacity);
        self.record_decision(AgentDecision::StartQueued {
            run: order.run,
            rank: order.rank,
            may_wait_ms: until.since(now).as_millis() as u32,
        });
        self.queued.push(QueuedStart {
            owner: key.clone(),
            order,
            since: now,
            until,
        });
    }

    /// Sends queued starts to the target as far as there is capacity. Starts that have waited too
    /// long, or that can no longer run here, are refused.
    pub(super) fn serve_queued(&mut self, now: Moment) {
        if self.queued.is_empty() {
            return;
        }
        let expired = self.queued.take_if(|start| start.until <= now);
        for start in expired {
            self.refuse_start(&start.owner, start.order.run, NotRunCause::NoRoom);
        }
        while let Some(start) = self.queued.take_first(&self.free_capacity()) {
            let waited_ms = now.since(start.since).as_millis() as u32;
            let run = start.order.run;
            match self.refusal_cause_of_queued(now, &start) {
                Some(cause) => self.refuse_start(&start.owner, run, cause),
                None => {
                    self.record_decision(AgentDecision::QueuedStartServed { run, waited_ms });
                    self.order_run(now, &start.owner, start.order);
                }
            }
        }
        if !self.condition.takes_work() {
            let all = self.queued.take_if(|_| true);
            for start in all {
                let cause = self.refusal_cause(now, &start.owner);
                let cause = cause.unwrap_or(NotRunCause::TargetUnavailable);
                self.refuse_start(&start.owner, start.order.run, cause);
            }
        }
    }

    fn refusal_cause_of_queued(&self, now: Moment, start: &QueuedStart) -> Option<NotRunCause> {
        let refusal = self.refusal_cause(now, &start.owner);
        let is_suspect = self.has_other_suspect(now, &start.order);
        refusal.or(is_suspect.then_some(NotRunCause::OtherSuspect))
    }

    /// Removes all queued starts of an entry and reports that they did not run.
    pub(super) fn drop_queued_of(&mut self, key: &OwnerKey) {
        if !self.queued.has_any_of(key) {
            return;
        }
        let dropped = self.queued.take_if(|start| start.owner == *key);
        for start in dropped {
            self.refuse_start(key, start.order.run, NotRunCause::Late);
        }
    }

    /// Removes a queued start; returns whether there was one.
    pub(super) fn recall_queued(&mut self, key: &OwnerKey, run: RunId) -> bool {
        let is_recalled = |start: &QueuedStart| start.owner == *key && start.order.run == run;
        let taken = self.queued.take_if(is_recalled);
        if taken.is_empty() {
            return false;
        }
        if let Some(owner) = self.owners.get_mut(key) {
            owner.ended.push(EndedRun {
                run,
                end: EndOfRun::NotRun(NotRunCause::Recalled),
                ran_ms: 0,
            });
        }
        true
    }

    /// Returns the next time at which capacity can be granted, or a queued start expires, without
    /// any other event.
    pub(super) fn grants_due(&self) -> Option<Moment> {
        let waits = self.queued.due();
        let has_need = |owner: &Owner| owner.need.is_some() && owner.offer.is_none();
        let now = self.last_event_at;
        let shown = (self.shown_until > now).then_some(self.shown_until);
        let waits = waits.into_iter().chain(shown).min();
        if !self.owners.values().any(has_need) || !self.is_granting() {
            return waits;
        }
        let next = next_expected_end(&self.runs, now, now + GRANT_AHEAD, self.slowdown.percent());
        let due = next.map(|end| end - GRANT_AHEAD);
        due.into_iter().chain(waits).min()
    }

    /// Returns the load of waiting tasks to report to an entry. Returns `None` if no task waits and the
    /// entry already knows this.
    pub(super) fn load_to_report(&self, now: Moment, owner: &Owner) -> Option<SideLoad> {
        let load = self.is_granting().then(|| self.side_load(now))?;
        let is_relevant = owner.reported.has_waiting || !load.waiting.is_empty();
        is_relevant.then_some(load)
    }

    fn side_load(&self, now: Moment) -> SideLoad {
        let needs = self.owners.values().filter_map(|owner| owner.need.as_ref());
        let active = self.owners.values();
        let active = active.filter(|owner| owner.session.is_some() && owner.duty == Duty::Active);
        SideLoad {
            waiting: waiting_by_rank(needs),
            entries: active.count().min(usize::from(u16::MAX)) as u16,
            free_capacity_in_ms: self.time_until_capacity(now).as_millis() as u32,
        }
    }

    /// Returns the time until a run ends whose capacity is not promised to any entry.
    fn time_until_capacity(&self, now: Moment) -> Duration {
        if self.unreserved().covers(&self.smallest_run()) {
            return Duration::ZERO;
        }
        let promised = self.promised();
        let slowdown = self.slowdown.percent();
        let mut until = now;
        while let Some(end) = next_expected_end(&self.runs, now, until, slowdown) {
            until = end;
            let coming = expected_capacity(&self.runs, now, until, slowdown);
            let left = self.free_capacity().with(&coming).without(&promised);
            if left.covers(&self.smallest_run()) {
                break;
            }
        }
        until.since(now)
    }

    /// Returns whether a run is ordered at the target or queued here.
    pub(super) fn is_run_known(&self, run: &RunId) -> bool {
        self.runs.get(run).is_some() || self.queued.contains(run)
    }
}
