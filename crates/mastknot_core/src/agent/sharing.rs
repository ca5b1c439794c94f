//! Shares of halls at one target: which work is charged to which hall, and when shares apply.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::owners::{Duty, Owner, OwnerKey};
use super::target_agent::TargetAgent;
use super::{AgentDecision, HallShares, HallTotal, Run, SessionId};
use crate::job::{Capacity, EndOfRun, EntryUpdate, ShareWeights, WaitingNeed};
use crate::types::Hall;

/// Assumed time of a task without an estimate, in milliseconds.
const UNKNOWN_TASK_MS: u64 = 100;

impl TargetAgent {
    /// Records whether an entry lets halls share scarce capacity, and the weights of halls unless
    /// the side knows a newer revision.
    pub(super) fn learn_shares(&mut self, session: SessionId, update: &EntryUpdate) {
        let key = self.sessions.get(&session);
        if let Some(owner) = key.and_then(|key| self.owners.get_mut(key)) {
            owner.shares_capacity = update.shares_capacity;
        }
        if update.shares.is_newer_than(&self.weights) {
            self.weights = Arc::clone(&update.shares);
            self.record_decision(AgentDecision::ShareWeights {
                revision: self.weights.revision,
                halls: self.weights.halls.len(),
            });
        }
    }

    /// Returns whether scarce capacity is divided by the shares of halls.
    pub(super) fn shares_capacity(&self) -> bool {
        let mut linked = self.linked_owners();
        linked.any(|owner| owner.shares_capacity)
    }

    /// Returns the virtual time of each waiting hall, including the work that its entries have been
    /// offered but have not used yet. The map is empty where halls do not share.
    pub(super) fn hall_virtual_times(&self) -> BTreeMap<&Hall, u64> {
        let mut offered = BTreeMap::new();
        if self.shares_capacity() {
            for owner in self.owners.values().filter(|owner| is_waiting(owner)) {
                *offered.entry(&owner.hall).or_default() += self.offered_work(owner);
            }
        }
        let shares = &self.hall_shares;
        let virtual_times = offered.into_iter();
        virtual_times
            .map(|(hall, work)| (hall, shares.virtual_time_after(hall, work, &self.weights)))
            .collect()
    }

    /// Records which halls wait before capacity is given. The unused shares of halls that do not
    /// wait are lent.
    pub(super) fn record_waiting_halls(&mut self) {
        if !self.shares_capacity() {
            return;
        }
        let waiting = self.owners.values().filter(|owner| is_waiting(owner));
        self.hall_shares
            .record_waiting(waiting.map(|owner| &owner.hall));
    }

    /// Returns the lowest turn of the waiting entries with which an entry takes turns.
    pub(super) fn lowest_competing_turn(&self, key: &OwnerKey) -> Option<u64> {
        let hall = self.owners.get(key).map(|owner| owner.hall.clone());
        let is_shared = self.shares_capacity();
        let waiting = self.owners.values().filter(|owner| owner.need.is_some());
        let competitors = waiting.filter(|owner| !is_shared || Some(&owner.hall) == hall.as_ref());
        competitors.map(|owner| owner.turn).min()
    }

    /// Charges a start to the hall of its entry, regardless of the rank of the start and of the
    /// entry for which the capacity was reserved. Returns the charged work.
    pub(super) fn charge_start(
        &mut self,
        key: &OwnerKey,
        capacity: &Capacity,
        estimate_ms: u32,
    ) -> u64 {
        if !self.shares_capacity() {
            return 0;
        }
        let Some(hall) = self.hall_of(key) else {
            return 0;
        };
        let work = self.work(capacity, u64::from(estimate_ms));
        let weights = Arc::clone(&self.weights);
        self.hall_shares.charge(&hall, work, &weights);
        let waiting = self.owners.values().filter(|owner| is_waiting(owner));
        let waiting: BTreeSet<&Hall> = waiting.map(|owner| &owner.hall).collect();
        let waiting: Vec<&Hall> = waiting.into_iter().collect();
        self.hall_totals
            .record_started(&hall, work, &waiting, &weights);
        work
    }

    /// Corrects the charge of a run that has ended: its hall pays for the actual run time instead
    /// of the estimate, and nothing if the run did not start.
    pub(super) fn settle_charge(&mut self, run: &Run, end: EndOfRun, ran_ms: u32) {
        if !self.shares_capacity() {
            return;
        }
        let Some(hall) = self.hall_of(&run.owner) else {
            return;
        };
        let ran_ms = match end {
            EndOfRun::NotRun(_) => 0,
            _ => ran_ms,
        };
        let used = self.work(&run.capacity, u64::from(ran_ms));
        let charged = run.charged;
        let weights = Arc::clone(&self.weights);
        match used > charged {
            true => self.hall_shares.charge(&hall, used - charged, &weights),
            false => self.hall_shares.refund(&hall, charged - used, &weights),
        }
    }

    /// Returns, for each hall, the work that it was entitled to and that it received while capacity
    /// was scarce.
    pub fn hall_totals(&self) -> impl Iterator<Item = (&Hall, &HallTotal)> {
        self.hall_totals.halls().iter()
    }

    /// Returns the virtual times of halls.
    pub fn hall_shares(&self) -> &HallShares {
        &self.hall_shares
    }

    /// Returns the weights of halls that are in force on this side.
    pub fn share_weights(&self) -> &ShareWeights {
        &self.weights
    }

    fn offered_work(&self, owner: &Owner) -> u64 {
        let Some(offer) = owner.offer else {
            return 0;
        };
        let expected_ms = owner.need.as_ref().and_then(expected_ms);
        self.work(&offer.left, expected_ms.unwrap_or(UNKNOWN_TASK_MS))
    }

    /// Returns the product of capacity and time, in thousandths of the target times milliseconds.
    fn work(&self, capacity: &Capacity, ms: u64) -> u64 {
        u64::from(capacity.max_permille_of(&self.capacity())) * ms
    }

    fn hall_of(&self, key: &OwnerKey) -> Option<Hall> {
        self.owners.get(key).map(|owner| owner.hall.clone())
    }

    fn linked_owners(&self) -> impl Iterator<Item = &Owner> {
        let owners = self.owners.values();
        owners.filter(|owner| owner.session.is_some())
    }
}

fn is_waiting(owner: &Owner) -> bool {
    owner.need.is_some() && owner.session.is_some() && owner.duty == Duty::Active
}

/// Returns the mean expected time of the tasks with the most urgent rank, in milliseconds, if the
/// entry reports it.
fn expected_ms(need: &WaitingNeed) -> Option<u64> {
    let mut by_rank = need.by_rank.iter();
    let work = by_rank.find(|work| work.rank == need.rank)?;
    let cpu_millis = u64::from(need.required_capacity.cpu_millis);
    work.cpu_millis_ms.checked_div(cpu_millis)
}
