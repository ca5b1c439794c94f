//! Renewing the authority: from the store, or by the peers' word while the store is silent.

use std::collections::BTreeSet;

use super::{Membership, MembershipEffect, Roster, WriteDecision};
use crate::message::PeerMessage;
use crate::types::{Moment, NodeName, Now};

/// A question to all peers whether a version still stands.
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

    /// The store answered a read of the roster that was sent at `sent_at`.
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

    /// The store gave no answer to a read.
    pub fn roster_read_failed(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.read_sent_at = None;
        self.ask_peers(now, out);
    }

    /// The store decided a write: it took effect at `revision`, or another came first.
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
            // Another change came first, or an earlier copy of this one did: the store knows.
            WriteDecision::Superseded => self.read_now(now, out),
        }
    }

    pub(super) fn extend(&mut self, asked_at: Moment) {
        let until = asked_at + self.settings.authority;
        self.fresh_until = self.fresh_until.max(until);
    }

    /// The store does not answer: asks every other member to confirm the version.
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
            // The only member: nobody else can write the next version.
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

    /// A peer asks whether this entry still stands by a version.
    pub fn confirmation_requested(
        &mut self,
        now: Now,
        peer: &NodeName,
        nonce: u64,
        version: u64,
        out: &mut Vec<MembershipEffect>,
    ) {
        let stands = version == self.version() && self.is_fresh(now.monotonic);
        if stands && self.proposal.is_none() {
            out.push(MembershipEffect::ToPeer {
                peer: peer.clone(),
                message: PeerMessage::Confirmed { nonce, version },
            });
        }
    }

    /// A peer confirmed a version.
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
