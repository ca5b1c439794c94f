//! Whether a key may be accepted here, and which earlier holders must be asked before.

use super::past_roster::PastRoster;
use super::{Acceptance, MemberId, Membership};
use crate::types::{Now, SubmissionKey, WallTime};

/// What an earlier holder means for a key that it may have accepted.
enum EarlierHolder {
    /// It can't have accepted the key, or has told all that it knows.
    Clear,
    /// It lives and can say what it knows.
    CanBeAsked,
    /// It may have accepted the key and can't be asked.
    OutOfReach,
}

impl Membership {
    /// Whether a key that the ledger does not know may be accepted here now.
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

    /// The holder of a key under an earlier version, unless it was this run.
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
        // The caller's clock and this one may each be off; two bounds cover both.
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
        // One that is silent would keep the caller waiting; what it ran can be rebuilt.
        let is_silent = self.is_silent(now.monotonic, holder);
        if view.is_connected && !is_silent && !view.is_dead(holder.incarnation) {
            EarlierHolder::CanBeAsked
        } else {
            EarlierHolder::OutOfReach
        }
    }

    /// Whether this entry holds a key under the adopted version.
    pub fn holds(&self, key: SubmissionKey) -> bool {
        let holder = self.roster.as_ref().and_then(|roster| roster.holder(key));
        holder.is_some_and(|holder| holder.id == self.me.id)
    }

    /// Whether this entry can vouch that it never accepts a key under a version below `version`.
    pub fn has_adopted(&self, version: u64) -> bool {
        self.version() >= version
    }
}
