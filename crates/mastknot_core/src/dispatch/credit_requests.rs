//! Requests for credits to sides and peers, and renewal of idle credits.

use std::time::Duration;

use super::pooled_side::PooledSide;
use super::{DispatchEffect, Dispatcher};
use crate::message::{CreditSeq, Demand, EntryMessage};
use crate::types::{Moment, NodeName};

/// Minimum time between two demands to a side that has idle slots.
const DEMAND_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between two demands to a side that is not known to have idle slots.
const BUSY_SIDE_DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two rounds of demands to sides. The sides asked in one round can answer
/// before others are asked.
const SIDE_REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of sides whose idle credits are renewed at one check. Credits of the other sides
/// may expire.
const MAX_RENEWED_SIDES: usize = 3;

impl Dispatcher {
    /// Returns the number of waiting tasks and the order key of the most urgent one.
    pub(super) fn demand(&self) -> Demand {
        Demand {
            wanted: self.queue.waiting(),
            urgency: self.queue.first_order().unwrap_or(u64::MAX),
        }
    }

    /// Sends the demand to sides with idle slots and to peers. Called when tasks wait and no credit
    /// is left.
    pub(super) fn request_credits(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        let demand = self.demand();
        if self.entries > 1 {
            self.request_from_peers(now, demand, out);
        }
        // Credits requested within this interval may still be in transit.
        let is_asked_recently = self
            .sides_asked_at
            .is_some_and(|at| now.since(at) < SIDE_REQUEST_INTERVAL);
        if is_asked_recently {
            return;
        }
        self.sides_asked_at = Some(now);
        let is_due = |side: &PooledSide| {
            let since_demand = side
                .demand_sent_at
                .map_or(Duration::MAX, |at| now.since(at));
            let is_idle_and_due = side.idle_slots > 0 && since_demand >= DEMAND_INTERVAL;
            is_idle_and_due || since_demand >= BUSY_SIDE_DEMAND_INTERVAL
        };
        let due = self
            .pool
            .sides()
            .filter(|(_, side)| !side.is_leaving && !side.is_paused(now) && is_due(side));
        let mut due_sides: Vec<(u16, NodeName)> = due
            .map(|(name, side)| (side.idle_slots, name.clone()))
            .collect();
        due_sides.sort_by_key(|(idle_slots, _)| std::cmp::Reverse(*idle_slots));
        // Demand goes to as many sides as have the slots needed. Other sides are asked in the next
        // round if these sides had fewer.
        let mut missing = demand.wanted;
        for (idle_slots, side) in due_sides {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(u32::from(idle_slots.max(1)));
            self.send_exchange(now, &side, Vec::new(), demand, out);
        }
    }

    /// Requests credits from peers for the submission that goes next, if this entry's own credits
    /// would take too long to become available.
    pub(super) fn request_from_peers(
        &mut self,
        now: Moment,
        demand: Demand,
        out: &mut Vec<DispatchEffect>,
    ) {
        let count = demand.urgency.min(u64::from(demand.wanted)) as u32;
        let peer_demand = Demand {
            wanted: count.max(1),
            urgency: demand.urgency,
        };
        let first_key = self.queue.first_key();
        let is_due = self.last_peer_request.is_none_or(|(at, requested_for)| {
            let since = now.since(at);
            since >= DEMAND_INTERVAL || (first_key != requested_for && since >= self.ask_interval())
        });
        if !is_due || self.own_wait(peer_demand.wanted) < self.ask_interval() {
            return;
        }
        self.last_peer_request = Some((now, first_key));
        self.counters.peer_asks += 1;
        let running = self.running;
        let demand = peer_demand;
        out.push(DispatchEffect::RequestCredits { demand, running });
    }

    /// Returns the time in which this entry's own credits would start the given number of tasks.
    pub(super) fn own_wait(&self, tasks: u32) -> Duration {
        let mean = Duration::from_micros(self.mean_cost_micros());
        if self.running == 0 {
            // No task runs here whose answer could bring a credit back.
            return Duration::MAX;
        }
        mean * tasks / self.running
    }

    pub(super) fn send_exchange(
        &mut self,
        now: Moment,
        side: &NodeName,
        returned: Vec<CreditSeq>,
        demand: Demand,
        out: &mut Vec<DispatchEffect>,
    ) {
        let Some(incarnation) = self.pool.update(now, side, |side| {
            side.demand_sent_at = Some(now);
            // The side reports in its answer how many slots are still idle.
            side.idle_slots = 0;
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

    /// Returns the number of idle credits to keep alive: the recent peak of running tasks and the
    /// configured reserve.
    pub(super) fn reserve(&self) -> usize {
        self.peak_running as usize + self.profile.idle_reserve as usize
    }

    pub(super) fn request_reserve(
        &mut self,
        now: Moment,
        side: &NodeName,
        out: &mut Vec<DispatchEffect>,
    ) {
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
            self.send_exchange(now, side, Vec::new(), demand, out);
        }
    }

    /// Exchanges idle credits that expire soon, up to the reserve. Credits beyond the reserve may
    /// expire.
    pub(super) fn renew(&mut self, now: Moment, out: &mut Vec<DispatchEffect>) {
        self.renewed_at = now;
        self.counters.credits_lapsed += self.pool.drop_expired(now);
        let mut allowed = self.reserve();
        let mut due: Vec<(usize, NodeName)> = Vec::new();
        for (name, side) in self.pool.sides() {
            let expiring = side.expiring(now).count();
            allowed = allowed.saturating_sub(side.credits.len() - expiring);
            if expiring > 0 {
                due.push((expiring, name.clone()));
            }
        }
        // One message renews all credits of a side, so the sides with the most credits go first.
        due.sort_by_key(|(expiring, _)| std::cmp::Reverse(*expiring));
        for (expiring, side) in due.into_iter().take(MAX_RENEWED_SIDES) {
            let renewed = expiring.min(allowed);
            allowed -= renewed;
            if renewed == 0 {
                break;
            }
            let returned = self.take_expiring(now, &side, renewed);
            let demand = Demand {
                wanted: renewed as u32,
                urgency: self.demand().urgency,
            };
            self.send_exchange(now, &side, returned, demand, out);
        }
    }

    pub(super) fn take_expiring(
        &mut self,
        now: Moment,
        side: &NodeName,
        max_count: usize,
    ) -> Vec<CreditSeq> {
        let taken = self.pool.update(now, side, |side| {
            let seqs: Vec<CreditSeq> = side.expiring(now).take(max_count).collect();
            side.credits.retain(|credit| !seqs.contains(&credit.seq));
            seqs
        });
        taken.unwrap_or_default()
    }
}
