//! When entries are told how the target stands.

use std::sync::Arc;

use super::offers::SharedRoom;
use super::owners::{Duty, Owner, OwnerKey, Told};
use super::target_agent::TargetAgent;
use crate::job::{Capacity, SideReport, SideStatus};
use crate::types::Moment;

/// A change of the room by this share of the target, in thousandths, is news.
const NOTABLE_PERMILLE: u32 = 200;

impl TargetAgent {
    pub(super) fn report_all(&mut self, now: Moment) {
        self.resume_links(now);
        let shared = self.shared_room();
        let due = self.owners.iter().filter(|(_, owner)| {
            let due = self.report_due(owner, &shared);
            due.is_some_and(|due| now >= due)
        });
        let due: Vec<OwnerKey> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.report(now, &key, &shared);
        }
    }

    /// When an entry is told next; at once if runs of it have ended.
    pub(super) fn report_due(&self, owner: &Owner, shared: &SharedRoom) -> Option<Moment> {
        owner.session?;
        if !owner.ended.is_empty() {
            return Some(owner.last_sent);
        }
        if owner.duty == Duty::Standby {
            // An entry that is cut off from the store learns versions from sides only, and it wakes only links to
            // targets that take work.
            let is_usable = self.condition.takes_work();
            let is_news = !owner.knows_version(self.config_version())
                || owner.told_drained < self.drained.revision
                || owner.told.condition.takes_work() != is_usable;
            let delay = match is_news {
                true => self.settings.idle_report_delay,
                false => self.settings.terms.standby_heartbeat,
            };
            return Some(owner.last_sent + delay);
        }
        let is_eager = owner.need.is_some() || (owner.is_granted_anew() && self.is_granting());
        let delay = match (self.is_news(owner, shared), is_eager) {
            (true, true) => self.settings.eager_report_delay,
            (true, false) => self.settings.idle_report_delay,
            (false, _) => self.settings.terms.heartbeat,
        };
        Some(owner.last_sent + delay)
    }

    fn is_news(&self, owner: &Owner, shared: &SharedRoom) -> bool {
        owner.is_granted_anew()
            || owner.told_drained < self.drained.revision
            || self.is_notable(&owner.told.free, &self.shown_to(owner, shared))
            || owner.told.condition != self.condition
            || owner.told.is_cold != self.is_cold
            || owner.told.target != self.link.profile
    }

    /// Whether a change of the room is worth a report before the next heartbeat.
    fn is_notable(&self, told: &Capacity, shown: &Capacity) -> bool {
        let difference = told.without(shown).with(&shown.without(told));
        let has_appeared = (*told == Capacity::default()) != (*shown == Capacity::default());
        has_appeared || difference.max_permille_of(&self.capacity()) >= NOTABLE_PERMILLE
    }

    fn report(&mut self, now: Moment, key: &OwnerKey, shared: &SharedRoom) {
        let known = self.owners.get(key);
        let free = known.map(|owner| self.shown_to(owner, shared));
        let free = free.unwrap_or_default();
        let hidden = match self.is_granting() {
            true => self.free_capacity().without(&free),
            false => Capacity::default(),
        };
        let target = self.link.profile.clone();
        let condition = self.condition;
        let is_cold = self.is_cold;
        let pace_percent = self.pace.percent();
        let config_version = self.config_version();
        let drained = Arc::clone(&self.drained);
        let grant = known.and_then(|owner| self.grant_of(now, owner));
        let kept_until = self.grant_kept_until(now, known.and_then(|owner| owner.offer));
        let load = known.and_then(|owner| self.load_to_tell(now, owner));
        let has_waiting = load.as_ref().is_some_and(|load| !load.waiting.is_empty());
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        let Some(session) = owner.session else {
            return;
        };
        let is_standby = owner.duty == Duty::Standby;
        let news_of_target = target.clone().filter(|_| owner.told.target != target);
        owner.told = Told {
            free,
            condition,
            is_cold,
            target,
            has_waiting,
        };
        let is_known = owner.told_drained >= drained.revision;
        owner.told_drained = drained.revision.max(owner.told_drained);
        let number = owner.number_report(now);
        if let Some(offer) = owner.offer.as_mut().filter(|offer| offer.number == 0) {
            offer.number = number;
            offer.until = kept_until.unwrap_or(offer.until);
        }
        let status = SideStatus {
            number,
            starts_included: owner.starts,
            free,
            withheld: hidden,
            is_offer: owner.offer.is_some_and(|offer| offer.is_needed),
            grant,
            load,
            condition,
            is_standby,
            is_cold,
            slowdown_percent: pace_percent,
            target: news_of_target,
            ended: std::mem::take(&mut owner.ended),
            config_version: owner.news_of_version(config_version),
            drained: (!is_known).then_some(drained),
        };
        self.send(session, SideReport::Status(status));
    }

    /// What the target has in all.
    pub fn capacity(&self) -> Capacity {
        let profile = self.link.profile.as_ref();
        profile.map(|profile| profile.capacity).unwrap_or_default()
    }
}
