//! Room that is short is granted: each piece belongs to one entry at a time, for a moment.
//!
//! What is free and what comes free within about a round trip goes to entries at which tasks wait, by urgency. What
//! nobody is known to need goes to the entries in turn, so that each holds some room for its next job. A start within
//! a grant finds room at once or waits here for the run that is about to end.

use std::time::Duration;

use super::AgentDecision;
use super::expected_ends::{expected_room, next_expected_end};
use super::offers::RoomOffer;
use super::owners::{Duty, Owner, OwnerKey};
use super::queued_starts::QueuedStart;
use super::side_load::waiting_by_rank;
use super::target_agent::TargetAgent;
use crate::job::{
    Capacity, CapacityGrant, EndOfRun, EndedRun, NotRunCause, RunId, SideLoad, StartOrder,
};
use crate::types::Moment;

/// Room that comes free within this time is granted before: a report, a decision and an order take about as long.
const AHEAD: Duration = Duration::from_millis(6);
/// An entry may use a grant for this long from when it was told; it uses or returns it at once as a rule.
const VALID_FOR: Duration = Duration::from_millis(30);
/// The same for a grant that nothing is known to wait for: about a heartbeat, so that most are used or renewed by a
/// report that comes anyway.
const STANDING_FOR: Duration = Duration::from_millis(60);
/// Room that belongs to nobody is shown to all from this share of the target on, in thousandths: several entries may
/// start there in the time that a report takes.
pub(super) const GRANTS_SHOWN_FROM_PERMILLE: u32 = 600;

/// The side keeps a grant for this much longer: the report and the start are on their way meanwhile.
const KEPT_LONGER: Duration = Duration::from_millis(20);

/// What becomes of a start as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartVerdict {
    /// The target is told at once.
    Now,
    /// It waits for room.
    Wait {
        /// Until then.
        until: Moment,
    },
    /// It is turned away.
    Away(NotRunCause),
}

impl TargetAgent {
    /// Whether an entry that starts work here has queues that compete by priority.
    pub(super) fn is_granting(&self) -> bool {
        let mut owners = self.owners.values();
        owners.any(|owner| owner.grants_room && owner.duty == Duty::Active)
    }

    /// What is free and what is expected to come free until a moment, without what belongs to somebody.
    fn promisable(&self, now: Moment, until: Moment) -> Capacity {
        let pace = self.pace.percent();
        if !self.condition.takes_work() {
            return Capacity::default();
        }
        let coming = expected_room(&self.runs, now, until, pace);
        self.free_capacity().with(&coming).without(&self.promised())
    }

    /// What belongs to somebody: grants and starts that wait.
    pub(super) fn promised(&self) -> Capacity {
        let offers = self.owners.values().filter_map(|owner| owner.offer);
        let queued = self.queued.room();
        offers.fold(queued, |sum, offer| sum.with(&offer.left))
    }

    /// Grants what is free and what is to come free soon.
    pub(super) fn make_grants(&mut self, now: Moment) {
        loop {
            let room = self.promisable(now, now + AHEAD);
            let Some(key) = self.next_in_turn(now, &room) else {
                break;
            };
            self.note_waiting_halls();
            self.grant(now, &key, &room);
        }
        self.grant_standing(now);
    }

    /// What nobody is known to need goes to an entry in turn, once it is too little to be shown to all.
    fn grant_standing(&mut self, now: Moment) {
        let share = self.untouched().min_permille_of(&self.capacity());
        let room = self.unreserved();
        let is_usable = room.covers(&self.smallest_run()) && room.cpu_millis > 0;
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
        // Those that are told of an end anyway cost no message.
        let next = able.min_by_key(|(_, owner)| (owner.ended.is_empty(), owner.standing_turn));
        let Some(key) = next.map(|(key, _)| key.clone()) else {
            return;
        };
        self.standing_grants += 1;
        let turn = self.standing_grants;
        if let Some(owner) = self.owners.get_mut(&key) {
            owner.standing_turn = turn;
            owner.offer = Some(RoomOffer::new(
                room,
                now + STANDING_FOR + KEPT_LONGER,
                false,
            ));
        }
        self.decided(AgentDecision::Granted {
            entry: key.entry,
            cpu_millis: room.cpu_millis,
            is_standing: true,
        });
    }

    /// The room of the smallest run, by which useless rests are known.
    fn smallest_run(&self) -> Capacity {
        let rooms = self.runs.iter().map(|(_, run)| run.room);
        let smallest = rooms.reduce(|smallest, room| smallest.smaller_of(&room));
        smallest.unwrap_or_default()
    }

    /// A grant goes from here to an entry that waits.
    fn grant(&mut self, now: Moment, key: &OwnerKey, room: &Capacity) {
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        let need = owner.need.clone().unwrap_or_default();
        let left = room.smaller_of(&need.required_capacity);
        owner.note_turn(&left, &need);
        owner.offer = Some(RoomOffer::new(left, now + VALID_FOR + KEPT_LONGER, true));
        self.decided(AgentDecision::Granted {
            entry: key.entry.clone(),
            cpu_millis: left.cpu_millis,
            is_standing: false,
        });
    }

    /// The entry's grant as it is told.
    pub(super) fn grant_of(&self, now: Moment, owner: &Owner) -> Option<CapacityGrant> {
        let offer = owner.offer.filter(|_| self.is_granting())?;
        let valid = match offer.number {
            0 if offer.is_needed => VALID_FOR,
            0 => STANDING_FOR,
            _ => offer.until.since(now).saturating_sub(KEPT_LONGER),
        };
        let free = self.free_capacity().without(&self.queued.room());
        (!valid.is_zero()).then(|| CapacityGrant {
            capacity: offer.left,
            ahead: offer.left.without(&free),
            valid_ms: valid.as_millis() as u32,
        })
    }

    /// Until when a grant is kept of which an entry is told now.
    pub(super) fn grant_kept_until(&self, now: Moment, offer: Option<RoomOffer>) -> Option<Moment> {
        let valid = match offer?.is_needed {
            true => VALID_FOR,
            false => STANDING_FOR,
        };
        self.is_granting().then(|| now + valid + KEPT_LONGER)
    }

    /// What is free and belongs to nobody, without what entries are likely to take before all have heard of it: as much
    /// as they took in the time that a report takes.
    pub(super) fn untouched(&self) -> Capacity {
        let since = self.handled - self.settings.idle_report_delay;
        let recent = self.runs.iter().filter(|(_, run)| run.since > since);
        let recent = recent.fold(Capacity::default(), |sum, (_, run)| sum.with(&run.room));
        self.unreserved().without(&recent)
    }

    /// A start has used a part of what its entry needs.
    pub(super) fn note_served(&mut self, key: &OwnerKey, room: &Capacity) {
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        // The entry counts its own starts.
        owner.told.free = owner.told.free.without(room);
        if let Some(need) = &mut owner.need {
            need.required_capacity = need.required_capacity.without(room);
        }
        owner
            .need
            .take_if(|need| !need.required_capacity.covers(&need.smallest_task));
        // A rest that holds no further task of its entry is of use to nobody while it is kept.
        let smallest = owner.need.as_ref().map_or(*room, |need| need.smallest_task);
        if owner
            .offer
            .is_some_and(|offer| !offer.left.covers(&smallest))
        {
            owner.drop_offer(true);
        }
    }

    /// Whether a start that finds no fault goes to the target, waits, or is turned away.
    pub(super) fn admit(&self, now: Moment, key: &OwnerKey, start: &StartOrder) -> StartVerdict {
        if !self.is_granting() {
            return match self.available_to(key).covers(&start.required_capacity) {
                true => StartVerdict::Now,
                false => StartVerdict::Away(NotRunCause::NoRoom),
            };
        }
        let room = &start.required_capacity;
        let may_wait = Duration::from_millis(u64::from(start.may_wait_ms));
        let offer = self.owners.get(key).and_then(|owner| owner.offer);
        if let Some(offer) = offer.filter(|offer| offer.left.covers(room)) {
            let free = self.free_capacity().without(&self.queued.room());
            let until = offer.until.max(now + may_wait);
            return match free.covers(room) {
                true => StartVerdict::Now,
                false => StartVerdict::Wait { until },
            };
        }
        let own = offer.map(|offer| offer.left).unwrap_or_default();
        let free = self.free_capacity().without(&self.queued.room());
        if free.covers(room) && self.unreserved().with(&own).covers(room) {
            return StartVerdict::Now;
        }
        let until = now + may_wait;
        let is_expected = self.promisable(now, until).with(&own).covers(room);
        match is_expected && start.may_wait_ms > 0 {
            true => StartVerdict::Wait { until },
            false => StartVerdict::Away(NotRunCause::NoRoom),
        }
    }

    /// Lets a start wait here.
    pub(super) fn queue_start(
        &mut self,
        now: Moment,
        key: &OwnerKey,
        order: StartOrder,
        until: Moment,
    ) {
        self.use_offer(key, &order.required_capacity);
        self.decided(AgentDecision::StartQueued {
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

    /// Orders the starts that wait as far as there is room; those that waited for too long, or that can't run here any
    /// more, are turned away.
    pub(super) fn serve_queued(&mut self, now: Moment) {
        if self.queued.is_empty() {
            return;
        }
        let late = self.queued.take_if(|start| start.until <= now);
        for start in late {
            self.turn_away(&start.owner, start.order.run, NotRunCause::NoRoom);
        }
        while let Some(start) = self.queued.take_first(&self.free_capacity()) {
            let waited_ms = now.since(start.since).as_millis() as u32;
            let run = start.order.run;
            match self.fault_against_queued(now, &start) {
                Some(cause) => self.turn_away(&start.owner, run, cause),
                None => {
                    self.decided(AgentDecision::QueuedStartServed { run, waited_ms });
                    self.order_run(now, &start.owner, start.order);
                }
            }
        }
        if !self.condition.takes_work() {
            let all = self.queued.take_if(|_| true);
            for start in all {
                let cause = self.fault_against(now, &start.owner);
                let cause = cause.unwrap_or(NotRunCause::TargetUnavailable);
                self.turn_away(&start.owner, start.order.run, cause);
            }
        }
    }

    fn fault_against_queued(&self, now: Moment, start: &QueuedStart) -> Option<NotRunCause> {
        let fault = self.fault_against(now, &start.owner);
        let is_suspect = self.holds_other_suspect(now, &start.order);
        fault.or(is_suspect.then_some(NotRunCause::OtherSuspect))
    }

    /// Takes back all starts of an entry that wait; it is told that they did not begin.
    pub(super) fn drop_queued_of(&mut self, key: &OwnerKey) {
        if !self.queued.has_any_of(key) {
            return;
        }
        let own = self.queued.take_if(|start| start.owner == *key);
        for start in own {
            self.turn_away(key, start.order.run, NotRunCause::Late);
        }
    }

    /// Takes back a start that waits; returns whether there was one.
    pub(super) fn recall_queued(&mut self, key: &OwnerKey, run: RunId) -> bool {
        let is_meant = |start: &QueuedStart| start.owner == *key && start.order.run == run;
        let taken = self.queued.take_if(is_meant);
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

    /// When time alone makes room that can be granted, or ends a wait.
    pub(super) fn grants_due(&self) -> Option<Moment> {
        let waits = self.queued.due();
        let has_need = |owner: &Owner| owner.need.is_some() && owner.offer.is_none();
        let now = self.handled;
        let shown = (self.shown_until > now).then_some(self.shown_until);
        let waits = waits.into_iter().chain(shown).min();
        if !self.owners.values().any(has_need) || !self.is_granting() {
            return waits;
        }
        let next = next_expected_end(&self.runs, now, now + AHEAD, self.pace.percent());
        let due = next.map(|end| end - AHEAD);
        due.into_iter().chain(waits).min()
    }

    /// What waits here, if something does or has ceased to since the entry was told.
    pub(super) fn load_to_tell(&self, now: Moment, owner: &Owner) -> Option<SideLoad> {
        let load = self.is_granting().then(|| self.side_load(now))?;
        let is_told = owner.told.has_waiting || !load.waiting.is_empty();
        is_told.then_some(load)
    }

    fn side_load(&self, now: Moment) -> SideLoad {
        let needs = self.owners.values().filter_map(|owner| owner.need.as_ref());
        let active = self.owners.values();
        let active = active.filter(|owner| owner.session.is_some() && owner.duty == Duty::Active);
        SideLoad {
            waiting: waiting_by_rank(needs),
            entries: active.count().min(usize::from(u16::MAX)) as u16,
            free_capacity_in_ms: self.room_in(now).as_millis() as u32,
        }
    }

    /// How long it is until a run ends whose room belongs to nobody.
    fn room_in(&self, now: Moment) -> Duration {
        if self.unreserved().covers(&self.smallest_run()) {
            return Duration::ZERO;
        }
        let promised = self.promised();
        let pace = self.pace.percent();
        let mut until = now;
        while let Some(end) = next_expected_end(&self.runs, now, until, pace) {
            until = end;
            let coming = expected_room(&self.runs, now, until, pace);
            let left = self.free_capacity().with(&coming).without(&promised);
            if left.covers(&self.smallest_run()) {
                break;
            }
        }
        until.since(now)
    }

    /// Whether a run is ordered at the target or waits for it here.
    pub(super) fn is_run_known(&self, run: &RunId) -> bool {
        self.runs.get(run).is_some() || self.queued.contains(run)
    }
}
