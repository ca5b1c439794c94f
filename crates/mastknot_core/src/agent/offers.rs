//! Room that is kept for one entry for a moment.
//!
//! While tasks wait at several entries, each end is news for all of them, and all but one of their
//! starts would come too late. So the side offers what comes free to one entry after the other, by
//! urgency and in proportion to what waits there; the others do not see it.

use std::time::Duration;

use super::AgentDecision;
use super::grant_order::{Claim, first_claim};
use super::granting;
use super::owners::{Duty, Owner, OwnerKey};
use super::target_agent::TargetAgent;
use crate::job::{Capacity, WaitingNeed};
use crate::types::Moment;

/// How long an offer is kept for an entry that says nothing.
const OFFER_TIME: Duration = Duration::from_millis(30);
/// An entry that left a whole offer unused gets none for this long.
const DECLINED_PAUSE: Duration = Duration::from_millis(60);
/// While tasks wait anywhere, what is kept for nobody is shown to all only from this share of the
/// target on, in thousandths: less draws starts that come too late.
const SHOWN_FROM_PERMILLE: u32 = 250;
/// What an entry's turn costs when it gets all that it needs, in units of [`super::owners::Owner::turn`].
const FULL_TURN: u64 = 1_000;

/// Room that only one entry may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoomOffer {
    /// The report that told of it; 0 while none has.
    pub(super) number: u64,
    /// What is left of it.
    pub(super) left: Capacity,
    /// When it ends by itself.
    pub(super) until: Moment,
    /// Whether the entry is known to need it: its next heartbeat returns what is left of it.
    pub(super) is_needed: bool,
    is_used: bool,
}

impl RoomOffer {
    /// An offer of which the entry has not been told yet.
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
    /// An offer is over. Where room is granted the entry knows that by itself.
    pub(super) fn drop_offer(&mut self, is_granting: bool) {
        let offer = self.offer.take();
        if let Some(offer) = offer.filter(|offer| is_granting && offer.number != 0) {
            self.told.free = self.told.free.without(&offer.left);
        }
    }

    /// The entry gets this room of what it needs: its next turn comes later.
    pub(super) fn note_turn(&mut self, left: &Capacity, need: &WaitingNeed) {
        self.turn += FULL_TURN * u64::from(left.cpu_millis.max(1))
            / u64::from(need.required_capacity.cpu_millis.max(1));
    }
}

/// The room of the target as all entries are told of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedRoom {
    /// What is free.
    free: Capacity,
    /// What of it is shown to every entry.
    shown: Capacity,
    is_granting: bool,
}

impl TargetAgent {
    /// What an entry may start now: what is kept for it and what is kept for nobody.
    pub(super) fn available_to(&self, key: &OwnerKey) -> Capacity {
        let offer = self.owners.get(key).and_then(|owner| owner.offer);
        let own = offer.map(|offer| offer.left).unwrap_or_default();
        own.with(&self.unreserved())
            .smaller_of(&self.free_capacity())
    }

    /// What an entry is told that it may start.
    pub(super) fn shown_to(&self, owner: &Owner, shared: &SharedRoom) -> Capacity {
        let own = owner.offer.map(|offer| offer.left).unwrap_or_default();
        let shown = own.with(&shared.shown);
        match shared.is_granting {
            // Some of it may still be taken: starts wait for that here.
            true => shown,
            false => shown.smaller_of(&shared.free),
        }
    }

    /// What is the same for all entries in what they are told.
    pub(super) fn shared_room(&self) -> SharedRoom {
        let is_granting = self.is_granting();
        let unreserved = match is_granting {
            true => self.untouched(),
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
        SharedRoom {
            free: self.free_capacity(),
            is_granting,
            shown: match (has_need || is_granting) && is_little {
                true => Capacity::default(),
                false => unreserved,
            },
        }
    }

    /// What is free and kept for nobody.
    pub(super) fn unreserved(&self) -> Capacity {
        self.free_capacity().without(&self.promised())
    }

    /// A start uses up the entry's own offer first.
    pub(super) fn use_offer(&mut self, key: &OwnerKey, room: &Capacity) {
        let offer = self
            .owners
            .get_mut(key)
            .and_then(|owner| owner.offer.as_mut());
        if let Some(offer) = offer {
            offer.left = offer.left.without(room);
            offer.is_used = true;
        }
        if self.is_granting() {
            self.note_served(key, room);
        }
    }

    /// An entry has told what waits there, after all reports up to `heard`.
    pub(super) fn take_need(
        &mut self,
        now: Moment,
        key: &OwnerKey,
        heard: u64,
        need: Option<WaitingNeed>,
    ) {
        let is_granting = self.is_granting();
        let floor = self.lowest_turn_beside(key);
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        if owner.need.is_none() && need.is_some() {
            owner.turn = owner.turn.max(floor.unwrap_or_default());
        }
        // On standby it may start nothing here: room kept for it would stand empty.
        owner.need = need.filter(|_| owner.duty == Duty::Active);
        let Some(offer) = owner.offer else {
            return;
        };
        // It has seen the offer and sent its starts before this.
        if offer.number != 0 && heard >= offer.number && offer.is_needed {
            owner.drop_offer(is_granting);
            // Where room is granted an entry asks several sides at once: what it does not need any more is no refusal.
            let is_declined = !is_granting || owner.need.is_some();
            if !offer.is_used && is_declined {
                owner.declined_until = now + DECLINED_PAUSE;
            }
        }
    }

    pub(super) fn end_old_offers(&mut self, now: Moment) {
        let is_granting = self.is_granting();
        for owner in self.owners.values_mut() {
            let is_old = |offer: &RoomOffer| offer.until <= now;
            if owner.offer.as_ref().is_some_and(is_old) {
                owner.drop_offer(is_granting);
            }
        }
    }

    /// When the next offer ends by itself.
    pub(super) fn offers_end(&self) -> Option<Moment> {
        let offers = self.owners.values().filter_map(|owner| owner.offer);
        offers.map(|offer| offer.until).min()
    }

    /// Keeps free room for entries at which tasks wait.
    pub(super) fn make_offers(&mut self, now: Moment) {
        if self.is_granting() {
            self.make_grants(now);
            return;
        }
        loop {
            let room = self.unreserved();
            let Some(key) = self.next_in_turn(now, &room) else {
                return;
            };
            self.note_waiting_halls();
            let Some(owner) = self.owners.get_mut(&key) else {
                return;
            };
            let need = owner.need.clone().unwrap_or_default();
            let left = room.smaller_of(&need.required_capacity);
            owner.note_turn(&left, &need);
            owner.offer = Some(RoomOffer::new(left, now + OFFER_TIME, true));
            let hall = owner.hall.clone();
            self.decided(AgentDecision::Offered {
                entry: key.entry,
                hall,
                cpu_millis: left.cpu_millis,
                rank: need.rank,
                needed_cpu_millis: need.required_capacity.cpu_millis,
            });
        }
    }

    /// The entry that gets the next offer: the most urgent need, then the one longest without.
    pub(super) fn next_in_turn(&self, now: Moment, room: &Capacity) -> Option<OwnerKey> {
        let places = self.hall_places();
        let waiting = self.owners.iter().filter_map(|(key, owner)| {
            let need = owner.need.as_ref()?;
            let may_have = owner.is_resumed
                && owner.session.is_some()
                && owner.offer.is_none()
                && owner.declined_until <= now;
            let is_served =
                may_have && room.covers(&need.smallest_task) && *room != Capacity::default();
            is_served.then_some(Claim {
                owner: key,
                rank: need.rank,
                place: places.get(&owner.hall).copied().unwrap_or_default(),
                turn: owner.turn,
            })
        });
        first_claim(waiting).map(|claim| claim.owner.clone())
    }
}
