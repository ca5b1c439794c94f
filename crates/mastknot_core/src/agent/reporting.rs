//! Reports of the target's state to entries.

use std::sync::Arc;

use super::offers::SharedCapacity;
use super::owners::{Duty, Owner, OwnerKey, ReportedState};
use super::target_agent::TargetAgent;
use crate::job::{Capacity, SideReport, SideStatus};
use crate::types::Moment;

/// Change of capacity, in thousandths of the target, from which it is reported before the next
/// heartbeat.
const NOTABLE_PERMILLE: u32 = 200;

impl TargetAgent {
    pub(super) fn report_all(&mut self, now: Moment) {
        self.resume_links(now);
        let shared = self.shared_capacity();
        let due = self.owners.iter().filter(|(_, owner)| {
            let due = self.report_due(owner, &shared);
            due.is_some_and(|due| now >= due)
        });
        let due: Vec<OwnerKey> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.report(now, &key, &shared);
        }
    }

    /// Returns the time of the next report to an entry. A report is due immediately if runs of the
    /// entry have ended.
    pub(super) fn report_due(&self, owner: &Owner, shared: &SharedCapacity) -> Option<Moment> {
        owner.session?;
        if !owner.ended.is_empty() {
            return Some(owner.last_sent);
        }
        if owner.duty == Duty::Standby {
            // An entry that is partitioned from the store learns versions only from sides, and an
            // entry activates only links to targets that take work.
            let is_usable = self.condition.takes_work();
            let has_update = !owner.knows_version(self.config_version())
                || owner.drained_revision < self.drained.revision
                || owner.reported.condition.takes_work() != is_usable;
            let delay = match has_update {
                true => self.settings.idle_report_delay,
                false => self.settings.terms.standby_heartbeat,
            };
            return Some(owner.last_sent + delay);
        }
        let is_eager = owner.need.is_some() || (owner.has_unreported_offer() && self.is_granting());
        let delay = match (self.has_update(owner, shared), is_eager) {
            (true, true) => self.settings.eager_report_delay,
            (true, false) => self.settings.idle_report_delay,
            (false, _) => self.settings.terms.heartbeat,
        };
        Some(owner.last_sent + delay)
    }

    fn has_update(&self, owner: &Owner, shared: &SharedCapacity) -> bool {
        owner.has_unreported_offer()
            || owner.drained_revision < self.drained.revision
            || self.is_notable(&owner.reported.free, &self.usable_by(owner, shared))
            || owner.reported.condition != self.condition
            || owner.reported.is_cold != self.is_cold
            || owner.reported.target != self.link.profile
    }

    /// Returns whether a change of capacity is reported before the next heartbeat.
    fn is_notable(&self, reported: &Capacity, shown: &Capacity) -> bool {
        let difference = reported.without(shown).with(&shown.without(reported));
        let has_appeared = (*reported == Capacity::default()) != (*shown == Capacity::default());
        has_appeared || difference.max_permille_of(&self.capacity()) >= NOTABLE_PERMILLE
    }

    fn report(&mut self, now: Moment, key: &OwnerKey, shared: &SharedCapacity) {
        let known = self.owners.get(key);
        let free = known.map(|owner| self.usable_by(owner, shared));
        let free = free.unwrap_or_default();
        let withheld = match self.is_granting() {
            true => self.free_capacity().without(&free),
            false => Capacity::default(),
        };
        let target = self.link.profile.clone();
        let condition = self.condition;
        let is_cold = self.is_cold;
        let slowdown_percent = self.slowdown.percent();
        let config_version = self.config_version();
        let drained = Arc::clone(&self.drained);
        let grant = known.and_then(|owner| self.grant_of(now, owner));
        let kept_until = self.grant_kept_until(now, known.and_then(|owner| owner.offer));
        let load = known.and_then(|owner| self.load_to_report(now, owner));
        let has_waiting = load.as_ref().is_some_and(|load| !load.waiting.is_empty());
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        let Some(session) = owner.session else {
            return;
        };
        let is_standby = owner.duty == Duty::Standby;
        let target_update = target.clone().filter(|_| owner.reported.target != target);
        owner.reported = ReportedState {
            free,
            condition,
            is_cold,
            target,
            has_waiting,
        };
        let is_known = owner.drained_revision >= drained.revision;
        owner.drained_revision = drained.revision.max(owner.drained_revision);
        let number = owner.number_report(now);
        if let Some(offer) = owner.offer.as_mut().filter(|offer| offer.number == 0) {
            offer.number = number;
            offer.until = kept_until.unwrap_or(offer.until);
        }
        let status = SideStatus {
            number,
            starts_included: owner.starts,
            free,
            withheld,
            is_offer: owner.offer.is_some_and(|offer| offer.is_needed),
            grant,
            load,
            condition,
            is_standby,
            is_cold,
            slowdown_percent,
            target: target_update,
            ended: std::mem::take(&mut owner.ended),
            config_version: owner.version_to_report(config_version),
            drained: (!is_known).then_some(drained),
        };
        self.send(session, SideReport::Status(status));
    }

    /// Returns the total capacity of the target.
    pub fn capacity(&self) -> Capacity {
        let profile = self.link.profile.as_ref();
        profile.map(|profile| profile.capacity).unwrap_or_default()
    }
}
