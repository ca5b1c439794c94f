//! Adopts new roster versions and keeps what is known of the earlier ones.

use std::collections::BTreeMap;

use super::past_roster::PastRoster;
use super::{MemberId, Membership, MembershipEffect, Roster};
use crate::message::PeerMessage;
use crate::types::{Now, WallTime};

impl Membership {
    /// Handles a roster that a peer has sent.
    pub fn roster_received(&mut self, now: Now, roster: Roster, out: &mut Vec<MembershipEffect>) {
        if roster.version > self.version() {
            // The store's revision of this version is not known yet.
            self.revision = 0;
            self.adopt(now, roster, out);
            self.read_now(now, out);
        }
    }

    pub(super) fn adopt(&mut self, now: Now, roster: Roster, out: &mut Vec<MembershipEffect>) {
        self.remember_past(now, &roster);
        self.proposal = None;
        self.round = None;
        self.joining.retain(|name, member| {
            let held = roster.members.iter().find(|other| other.id.name == *name);
            held.is_none_or(|held| held.id != member.id)
        });
        self.roster = Some(roster.clone());
        self.record_stopped(now);
        let version = roster.version;
        out.push(MembershipEffect::ToPeers(PeerMessage::NewRoster(
            roster.clone(),
        )));
        out.push(MembershipEffect::ToPeers(PeerMessage::Adopted { version }));
        out.push(MembershipEffect::Adopted(roster));
    }

    fn remember_past(&mut self, now: Now, next: &Roster) {
        for members in &next.past {
            let is_known = self
                .past
                .iter()
                .any(|past| past.members.version == members.version);
            if !is_known {
                self.past.push(PastRoster {
                    members: members.clone(),
                    learned_at: now.monotonic,
                    stopped: BTreeMap::new(),
                });
            }
        }
    }

    /// Records which earlier holders are known to accept no more keys.
    pub(super) fn record_stopped(&mut self, now: Now) {
        let mut past = std::mem::take(&mut self.past);
        for version in &mut past {
            for id in self.newly_stopped(now, version) {
                version.stopped.insert(id, now.wall);
            }
        }
        self.past = past;
        self.forget_past(now);
    }

    fn newly_stopped(&self, now: Now, past: &PastRoster) -> Vec<MemberId> {
        let is_over = now.monotonic >= past.learned_at + self.settings.takeover_wait();
        let members = past.members.members.iter();
        members
            .filter(|id| !past.stopped.contains_key(id))
            .filter(|id| is_over || self.has_moved_on(id, past.members.version))
            .cloned()
            .collect()
    }

    /// Returns whether a member can accept no more keys under an earlier version.
    fn has_moved_on(&self, id: &MemberId, version: u64) -> bool {
        if *id == self.me.id {
            return self.version() > version;
        }
        let is_earlier_run_of_me =
            id.name == self.me.id.name && id.incarnation < self.me.id.incarnation;
        let view = self.peers.get(&id.name);
        is_earlier_run_of_me || view.is_some_and(|view| view.has_moved_on(id.incarnation, version))
    }

    fn forget_past(&mut self, now: Now) {
        let oldest = self.oldest_kept(now);
        self.past.retain(|past| {
            let all_stopped = past.stopped.len() == past.members.members.len();
            let last = past.stopped.values().max().copied().unwrap_or_default();
            !(all_stopped && last < oldest)
        });
    }

    /// Returns the time before which a replaced version can be forgotten: no key that is still
    /// accepted was held under it.
    pub(super) fn oldest_kept(&self, now: Now) -> WallTime {
        let kept = self.settings.max_key_age + 3 * self.settings.max_clock_skew;
        now.wall.minus(kept)
    }
}
