//! Renews the authority, from the store or through the confirmations of all peers while the store
//! does not answer.

use std::collections::BTreeSet;

use super::{Membership, MembershipEffect, Roster, WriteDecision};
use crate::message::PeerMessage;
use crate::types::{Moment, NodeName, Now};

/// Request to all peers to confirm that a version is still in force.
#[derive(Clone, Debug)]
pub(super) struct ConfirmRound {
    nonce: u64,
    sent_at: Moment,
    confirmed: BTreeSet<NodeName>,
}

impl Membership {
    pub(super) fn read_now(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.read_sent_at.get_or_insert(now.monotonic);
        out.push(MembershipEffect::ReadRoster);
    }

    /// Handles the store's answer to a read of the roster that was sent at `sent_at`.
    pub fn roster_read(
        &mut self,
        now: Now,
        sent_at: Moment,
        found: Option<(u64, Roster)>,
        out: &mut Vec<MembershipEffect>,
    ) {
        self.read_sent_at = None;
        let Some((revision, roster)) = found else {
            if self.roster.is_none() && self.proposal.is_none() {
                self.propose(now, 0, Roster::first(self.me.clone()), out);
            }
            return;
        };
        if roster.version < self.version() {
            return;
        }
        if roster.version > self.version() {
            self.adopt(now, roster, out);
        }
        self.revision = revision;
        self.extend(sent_at);
    }

    /// Handles a read of the roster that the store has not answered.
    pub fn roster_read_failed(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.read_sent_at = None;
        self.ask_peers(now, out);
    }

    /// Handles the store's decision on a write: it took effect at `revision`, or another write came
    /// first.
    pub fn roster_written(
        &mut self,
        now: Now,
        written: WriteDecision,
        out: &mut Vec<MembershipEffect>,
    ) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        match written {
            WriteDecision::Written(revision) => {
                let roster = proposal.write.roster.clone();
                if roster.version > self.version() {
                    self.revision = revision;
                    self.adopt(now, roster, out);
                }
            }
            // Another change or an earlier copy of this one came first; the store shows which.
            WriteDecision::Superseded => self.read_now(now, out),
        }
    }

    pub(super) fn extend(&mut self, asked_at: Moment) {
        let until = asked_at + self.settings.authority;
        self.fresh_until = self.fresh_until.max(until);
    }

    /// Asks every other member to confirm the version, because the store does not answer.
    pub(super) fn ask_peers(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        if !self.is_fresh(now.monotonic) || self.round.is_some() {
            return;
        }
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.round = Some(ConfirmRound {
            nonce,
            sent_at: now.monotonic,
            confirmed: BTreeSet::new(),
        });
        if self.has_all_confirmations() {
            // This entry is the only member, so no other entry can write the next version.
            self.round = None;
            if self.proposal.is_none() {
                self.extend(now.monotonic);
            }
            return;
        }
        let version = self.version();
        let message = PeerMessage::Confirm { nonce, version };
        out.push(MembershipEffect::ToPeers(message));
    }

    /// Handles a peer's question whether this entry still has a version in force.
    pub fn confirmation_requested(
        &mut self,
        now: Now,
        peer: &NodeName,
        nonce: u64,
        version: u64,
        out: &mut Vec<MembershipEffect>,
    ) {
        let is_current = version == self.version() && self.is_fresh(now.monotonic);
        if is_current && self.proposal.is_none() {
            out.push(MembershipEffect::ToPeer {
                peer: peer.clone(),
                message: PeerMessage::Confirmed { nonce, version },
            });
        }
    }

    /// Handles a peer's confirmation of a version.
    pub fn confirmed(&mut self, now: Now, peer: &NodeName, nonce: u64, version: u64) {
        if version != self.version() || !self.is_fresh(now.monotonic) {
            return;
        }
        let Some(round) = &mut self.round else {
            return;
        };
        if round.nonce != nonce {
            return;
        }
        round.confirmed.insert(peer.clone());
        let sent_at = round.sent_at;
        if self.has_all_confirmations() {
            self.round = None;
            self.extend(sent_at);
        }
    }

    fn has_all_confirmations(&self) -> bool {
        let Some((roster, round)) = self.roster.as_ref().zip(self.round.as_ref()) else {
            return false;
        };
        roster
            .member_ids()
            .filter(|id| **id != self.me.id)
            .all(|id| round.confirmed.contains(&id.name))
    }
}
