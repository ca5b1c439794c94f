//! Capacity that is reserved for one entry for a short time.
//!
//! While tasks wait at several entries, all of them would react to each run that ends, and all but
//! one of their starts would arrive too late. The side therefore offers the capacity that becomes
//! free to one entry after the other, by urgency and in proportion to the work that waits there.
//! The other entries do not see it.

use std::time::Duration;

use super::AgentDecision;
use super::grant_order::{CapacityClaim, first_claim};
use super::granting;
use super::owners::{Duty, Owner, OwnerKey};
use super::target_agent::TargetAgent;
use crate::job::{Capacity, WaitingNeed};
use crate::types::Moment;

/// Time for which an offer is kept if its entry sends nothing.
const OFFER_TIME: Duration = Duration::from_millis(30);
/// Time for which an entry gets no further offer after it has left an offer entirely unused.
const DECLINED_PAUSE: Duration = Duration::from_millis(60);
/// Share of the target, in thousandths, from which unreserved capacity is reported to all entries
/// while tasks wait at any of them. A smaller amount would attract starts that arrive too late.
const SHOWN_FROM_PERMILLE: u32 = 250;
/// Cost of an entry's turn if the entry gets all that it needs, in units of
/// [`super::owners::Owner::turn`].
const FULL_TURN: u64 = 1_000;

/// Capacity that only one entry may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityOffer {
    /// Number of the report that announced the offer; 0 until a report has.
    pub(super) number: u64,
    /// Capacity that is left of the offer.
    pub(super) left: Capacity,
    /// Time at which the offer expires.
    pub(super) until: Moment,
    /// Whether the entry is known to need the capacity. If so, its next heartbeat returns what is
    /// left of the offer.
    pub(super) is_needed: bool,
    is_used: bool,
}

impl CapacityOffer {
    /// Creates an offer that has not been reported to the entry yet.
    pub(super) fn new(left: Capacity, until: Moment, is_needed: bool) -> Self {
        Self {
            number: 0,
            left,
            until,
            is_needed,
            is_used: false,
        }
    }
}

impl Owner {
    /// Removes the offer of the entry. Where capacity is granted, the entry knows by itself that a
    /// grant has ended.
    pub(super) fn drop_offer(&mut self, is_granting: bool) {
        let offer = self.offer.take();
        if let Some(offer) = offer.filter(|offer| is_granting && offer.number != 0) {
            self.reported.free = self.reported.free.without(&offer.left);
        }
    }

    /// Records that the entry gets `left` of the capacity that it needs, which moves its next turn
    /// back.
    pub(super) fn advance_turn(&mut self, left: &Capacity, need: &WaitingNeed) {
        self.turn += FULL_TURN * u64::from(left.cpu_millis.max(1))
            / u64::from(need.required_capacity.cpu_millis.max(1));
    }
}

/// Capacity of the target that is reported to all entries alike.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedCapacity {
    /// Free capacity.
    free: Capacity,
    /// Part of the free capacity that is reported to every entry.
    shown: Capacity,
    is_granting: bool,
}

impl TargetAgent {
    /// Returns the capacity that an entry may use now: what is reserved for the entry and what is
    /// not reserved.
    pub(super) fn available_to(&self, key: &OwnerKey) -> Capacity {
        let offer = self.owners.get(key).and_then(|owner| owner.offer);
        let offered = offer.map(|offer| offer.left).unwrap_or_default();
        offered
            .with(&self.unreserved())
            .smaller_of(&self.free_capacity())
    }

    /// Returns the capacity that is reported to an entry as usable.
    pub(super) fn usable_by(&self, owner: &Owner, shared: &SharedCapacity) -> Capacity {
        let offered = owner.offer.map(|offer| offer.left).unwrap_or_default();
        let usable = offered.with(&shared.shown);
        match shared.is_granting {
            // Some of this capacity may still be in use; starts are queued here until it is free.
            true => usable,
            false => usable.smaller_of(&shared.free),
        }
    }

    /// Returns the part of the reports that is the same for all entries.
    pub(super) fn shared_capacity(&self) -> SharedCapacity {
        let is_granting = self.is_granting();
        let unreserved = match is_granting {
            true => self.expected_unreserved(),
            false => self.unreserved(),
        };
        let has_need = self.owners.values().any(|owner| owner.need.is_some());
        let shown_from = match is_granting {
            true => granting::GRANTS_SHOWN_FROM_PERMILLE,
            false => SHOWN_FROM_PERMILLE,
        };
        let share = match is_granting {
            true => unreserved.min_permille_of(&self.capacity()),
            false => unreserved.max_permille_of(&self.capacity()),
        };
        let is_little = share < shown_from;
        SharedCapacity {
            free: self.free_capacity(),
            is_granting,
            shown: match (has_need || is_granting) && is_little {
                true => Capacity::default(),
                false => unreserved,
            },
        }
    }

    /// Returns the free capacity that is not reserved for any entry.
    pub(super) fn unreserved(&self) -> Capacity {
        self.free_capacity().without(&self.promised())
    }

    /// Takes the capacity of a start, from the entry's own offer first.
    pub(super) fn use_offer(&mut self, key: &OwnerKey, capacity: &Capacity) {
        let offer = self
            .owners
            .get_mut(key)
            .and_then(|owner| owner.offer.as_mut());
        if let Some(offer) = offer {
            offer.left = offer.left.without(capacity);
            offer.is_used = true;
        }
        if self.is_granting() {
            self.record_served(key, capacity);
        }
    }

    /// Records the need that an entry reports after having received all reports up to the given
    /// number.
    pub(super) fn take_need(
        &mut self,
        now: Moment,
        key: &OwnerKey,
        last_received: u64,
        need: Option<WaitingNeed>,
    ) {
        let is_granting = self.is_granting();
        let floor = self.lowest_competing_turn(key);
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        if owner.need.is_none() && need.is_some() {
            owner.turn = owner.turn.max(floor.unwrap_or_default());
        }
        // An entry on standby may start nothing here, so capacity reserved for it would stay
        // unused.
        owner.need = need.filter(|_| owner.duty == Duty::Active);
        let Some(offer) = owner.offer else {
            return;
        };
        // The entry has received the offer, and has sent its starts before this message.
        if offer.number != 0 && last_received >= offer.number && offer.is_needed {
            owner.drop_offer(is_granting);
            // Where capacity is granted, an entry asks several sides at once. Not to need a grant
            // any more does not count as declining it.
            let is_declined = !is_granting || owner.need.is_some();
            if !offer.is_used && is_declined {
                owner.declined_until = now + DECLINED_PAUSE;
            }
        }
    }

    pub(super) fn end_old_offers(&mut self, now: Moment) {
        let is_granting = self.is_granting();
        for owner in self.owners.values_mut() {
            let is_old = |offer: &CapacityOffer| offer.until <= now;
            if owner.offer.as_ref().is_some_and(is_old) {
                owner.drop_offer(is_granting);
            }
        }
    }

    /// Returns the time at which the next offer expires.
    pub(super) fn offers_end(&self) -> Option<Moment> {
        let offers = self.owners.values().filter_map(|owner| owner.offer);
        offers.map(|offer| offer.until).min()
    }

    /// Reserves free capacity for entries with waiting tasks.
    pub(super) fn make_offers(&mut self, now: Moment) {
        if self.is_granting() {
            self.make_grants(now);
            return;
        }
        loop {
            let capacity = self.unreserved();
            let Some(key) = self.next_in_turn(now, &capacity) else {
                return;
            };
            self.record_waiting_halls();
            let Some(owner) = self.owners.get_mut(&key) else {
                return;
            };
            let need = owner.need.clone().unwrap_or_default();
            let left = capacity.smaller_of(&need.required_capacity);
            owner.advance_turn(&left, &need);
            owner.offer = Some(CapacityOffer::new(left, now + OFFER_TIME, true));
            let hall = owner.hall.clone();
            self.record_decision(AgentDecision::Offered {
                entry: key.entry,
                hall,
                cpu_millis: left.cpu_millis,
                rank: need.rank,
                needed_cpu_millis: need.required_capacity.cpu_millis,
            });
        }
    }

    /// Returns the entry that gets the next offer: the one with the most urgent need, then the one
    /// that has waited longest.
    pub(super) fn next_in_turn(&self, now: Moment, capacity: &Capacity) -> Option<OwnerKey> {
        let virtual_times = self.hall_virtual_times();
        let waiting = self.owners.iter().filter_map(|(key, owner)| {
            let need = owner.need.as_ref()?;
            let may_have = owner.is_resumed
                && owner.session.is_some()
                && owner.offer.is_none()
                && owner.declined_until <= now;
            let is_served = may_have
                && capacity.covers(&need.smallest_task)
                && *capacity != Capacity::default();
            is_served.then_some(CapacityClaim {
                owner: key,
                rank: need.rank,
                virtual_time: virtual_times.get(&owner.hall).copied().unwrap_or_default(),
                turn: owner.turn,
            })
        });
        first_claim(waiting).map(|claim| claim.owner.clone())
    }
}
