//! Shares of halls at one target: what is charged to whom, and when it counts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::owners::{Duty, Owner, OwnerKey};
use super::target_agent::TargetAgent;
use super::{AgentDecision, HallShares, HallTotal, Run, SessionId};
use crate::job::{Capacity, EndOfRun, EntryUpdate, ShareWeights, WaitingNeed};
use crate::types::Hall;

/// The time of a task of which nothing is known, in milliseconds.
const UNKNOWN_TASK_MS: u64 = 100;

impl TargetAgent {
    /// An entry has told whether halls share room that is short, and by which weights; what is older changes nothing.
    pub(super) fn learn_shares(&mut self, session: SessionId, news: &EntryUpdate) {
        let key = self.sessions.get(&session);
        if let Some(owner) = key.and_then(|key| self.owners.get_mut(key)) {
            owner.shares_room = news.shares_capacity;
        }
        if news.shares.is_newer_than(&self.weights) {
            self.weights = Arc::clone(&news.shares);
            self.decided(AgentDecision::ShareWeights {
                revision: self.weights.revision,
                halls: self.weights.halls.len(),
            });
        }
    }

    /// Whether room that is short goes by the shares of halls.
    pub(super) fn shares_room(&self) -> bool {
        let mut linked = self.linked_owners();
        linked.any(|owner| owner.shares_room)
    }

    /// The places of halls among equals: their virtual times with all that their entries have been offered and have
    /// not used yet. Empty where halls do not share.
    pub(super) fn hall_places(&self) -> BTreeMap<&Hall, u64> {
        let mut offered = BTreeMap::new();
        if self.shares_room() {
            for owner in self.owners.values().filter(|owner| is_waiting(owner)) {
                *offered.entry(&owner.hall).or_default() += self.offered_work(owner);
            }
        }
        let shares = &self.hall_shares;
        let places = offered.into_iter();
        places
            .map(|(hall, work)| (hall, shares.virtual_time_after(hall, work, &self.weights)))
            .collect()
    }

    /// Room is about to be given: what halls that do not wait now leave unused is lent.
    pub(super) fn note_waiting_halls(&mut self) {
        if !self.shares_room() {
            return;
        }
        let waiting = self.owners.values().filter(|owner| is_waiting(owner));
        self.hall_shares
            .record_waiting(waiting.map(|owner| &owner.hall));
    }

    /// The lowest turn among the waiting entries with which an entry takes turns.
    pub(super) fn lowest_turn_beside(&self, key: &OwnerKey) -> Option<u64> {
        let hall = self.owners.get(key).map(|owner| owner.hall.clone());
        let is_shared = self.shares_room();
        let waiting = self.owners.values().filter(|owner| owner.need.is_some());
        let beside = waiting.filter(|owner| !is_shared || Some(&owner.hall) == hall.as_ref());
        beside.map(|owner| owner.turn).min()
    }

    /// A start is charged to its entry's hall, whatever its rank and whoever the room was kept for; returns the work.
    pub(super) fn charge_start(
        &mut self,
        key: &OwnerKey,
        room: &Capacity,
        estimate_ms: u32,
    ) -> u64 {
        if !self.shares_room() {
            return 0;
        }
        let Some(hall) = self.hall_of(key) else {
            return 0;
        };
        let work = self.work(room, u64::from(estimate_ms));
        let weights = Arc::clone(&self.weights);
        self.hall_shares.charge(&hall, work, &weights);
        let waiting = self.owners.values().filter(|owner| is_waiting(owner));
        let waiting: BTreeSet<&Hall> = waiting.map(|owner| &owner.hall).collect();
        let waiting: Vec<&Hall> = waiting.into_iter().collect();
        self.hall_totals
            .record_started(&hall, work, &waiting, &weights);
        work
    }

    /// A run is over: its hall pays for the time that it took, in place of the guess, and nothing for one that never
    /// ran.
    pub(super) fn settle_charge(&mut self, run: &Run, end: EndOfRun, ran_ms: u32) {
        if !self.shares_room() {
            return;
        }
        let Some(hall) = self.hall_of(&run.owner) else {
            return;
        };
        let ran_ms = match end {
            EndOfRun::NotRun(_) => 0,
            _ => ran_ms,
        };
        let used = self.work(&run.room, u64::from(ran_ms));
        let charged = run.charged;
        let weights = Arc::clone(&self.weights);
        match used > charged {
            true => self.hall_shares.charge(&hall, used - charged, &weights),
            false => self.hall_shares.refund(&hall, charged - used, &weights),
        }
    }

    /// What each hall was due and had while room was short.
    pub fn hall_totals(&self) -> impl Iterator<Item = (&Hall, &HallTotal)> {
        self.hall_totals.halls().iter()
    }

    /// How far halls are ahead of each other.
    pub fn hall_shares(&self) -> &HallShares {
        &self.hall_shares
    }

    /// The weights of halls that are in force here.
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

    /// Room times time, in thousandths of the target times milliseconds.
    fn work(&self, room: &Capacity, ms: u64) -> u64 {
        u64::from(room.max_permille_of(&self.capacity())) * ms
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

/// The mean expected time of the tasks of the most urgent rank, where the entry tells it.
fn expected_ms(need: &WaitingNeed) -> Option<u64> {
    let mut by_rank = need.by_rank.iter();
    let work = by_rank.find(|work| work.rank == need.rank)?;
    let cpu_millis = u64::from(need.required_capacity.cpu_millis);
    work.cpu_millis_ms.checked_div(cpu_millis)
}
