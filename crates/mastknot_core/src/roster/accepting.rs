//! Decides whether this entry may accept a key, and which earlier holders must be asked before.

use super::past_roster::PastRoster;
use super::{Acceptance, MemberId, Membership};
use crate::types::{Now, SubmissionKey, WallTime};

/// Status of an earlier holder with respect to a key that it may have accepted.
enum EarlierHolder {
    /// The holder cannot have accepted the key, or has handed over everything that it knows.
    Clear,
    /// The holder is alive and can be asked.
    CanBeAsked,
    /// The holder may have accepted the key and cannot be asked.
    OutOfReach,
}

impl Membership {
    /// Returns whether this entry may now accept a key that its ledger does not know.
    pub fn acceptance(&self, now: Now, key: SubmissionKey) -> Acceptance {
        let Some(roster) = &self.roster else {
            return Acceptance::NoAuthority;
        };
        let Some(holder) = roster.holder(key) else {
            return Acceptance::NoAuthority;
        };
        if holder.id != self.me.id {
            return Acceptance::HeldBy(holder.clone());
        }
        if !self.is_fresh(now.monotonic) {
            return Acceptance::NoAuthority;
        }
        self.check_past(now, key)
    }

    fn check_past(&self, now: Now, key: SubmissionKey) -> Acceptance {
        let mut to_ask = Vec::new();
        let mut is_unknown = false;
        for past in &self.past {
            let Some(holder) = self.other_holder(past, key) else {
                continue;
            };
            let Some(stopped) = past.stopped.get(holder) else {
                let over_at = past.learned_at + self.settings.takeover_wait();
                return Acceptance::NotYet(over_at.since(now.monotonic));
            };
            match self.earlier_holder(now, key, holder, *stopped) {
                EarlierHolder::Clear => {}
                EarlierHolder::CanBeAsked => to_ask.push(holder.clone()),
                EarlierHolder::OutOfReach => is_unknown = true,
            }
        }
        if is_unknown {
            return Acceptance::Unknown;
        }
        to_ask.sort();
        to_ask.dedup();
        if to_ask.is_empty() {
            Acceptance::Yes
        } else {
            Acceptance::Ask(to_ask)
        }
    }

    /// Returns the holder of a key under an earlier version, unless it was this incarnation of this
    /// entry.
    fn other_holder<'a>(&self, past: &'a PastRoster, key: SubmissionKey) -> Option<&'a MemberId> {
        let holder = past.members.holder(key);
        holder.filter(|holder| **holder != self.me.id)
    }

    fn earlier_holder(
        &self,
        now: Now,
        key: SubmissionKey,
        holder: &MemberId,
        stopped: WallTime,
    ) -> EarlierHolder {
        // The caller's clock and this entry's clock may each be off by the maximum skew; twice the
        // skew covers both.
        let cannot_know = key.made_at() > stopped.plus(2 * self.settings.max_clock_skew);
        if cannot_know {
            return EarlierHolder::Clear;
        }
        let Some(view) = self.peers.get(&holder.name) else {
            return EarlierHolder::OutOfReach;
        };
        if view.has_handed_over && view.incarnation == holder.incarnation {
            return EarlierHolder::Clear;
        }
        // Asking a silent holder would only keep the caller waiting; the answers of its tasks can
        // be rebuilt.
        let is_silent = self.is_silent(now.monotonic, holder);
        if view.is_connected && !is_silent && !view.is_dead(holder.incarnation) {
            EarlierHolder::CanBeAsked
        } else {
            EarlierHolder::OutOfReach
        }
    }

    /// Returns whether this entry holds a key under the adopted version.
    pub fn holds(&self, key: SubmissionKey) -> bool {
        let holder = self.roster.as_ref().and_then(|roster| roster.holder(key));
        holder.is_some_and(|holder| holder.id == self.me.id)
    }

    /// Returns whether this entry can guarantee that it never accepts a key under a version below
    /// `version`.
    pub fn has_adopted(&self, version: u64) -> bool {
        self.version() >= version
    }
}
