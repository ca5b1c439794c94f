use std::collections::BTreeMap;

use super::past_roster::PastRoster;
use super::peer_view::PeerView;
use super::proposing::Proposal;
use super::renewing::ConfirmRound;
use super::{Member, MemberId, MembershipEffect, MembershipSettings, Roster};
use crate::types::{Moment, NodeName, Now};

/// One entry's view of the roster of entries and its own part in it.
///
/// It holds the adopted version, the entry's authority to accept new keys, and what is known of
/// earlier holders. The rules, with the argument that no key is accepted by two entries, are in
/// `docs/design/submissions.md`.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: Member,
    pub(super) settings: MembershipSettings,
    pub(super) roster: Option<Roster>,
    pub(super) revision: u64,
    pub(super) fresh_until: Moment,
    pub(super) read_sent_at: Option<Moment>,
    pub(super) renewed_at: Option<Moment>,
    pub(super) round: Option<ConfirmRound>,
    pub(super) next_nonce: u64,
    pub(super) proposal: Option<Proposal>,
    pub(super) past: Vec<PastRoster>,
    pub(super) peers: BTreeMap<NodeName, PeerView>,
    pub(super) joining: BTreeMap<NodeName, Member>,
    pub(super) asked_to_join_at: Option<Moment>,
    pub(super) is_leaving: bool,
}

impl Membership {
    /// Returns the membership of an entry that has not read the roster yet.
    pub fn new(me: Member, settings: MembershipSettings) -> Self {
        Self {
            me,
            settings,
            roster: None,
            revision: 0,
            fresh_until: Moment::default(),
            read_sent_at: None,
            renewed_at: None,
            round: None,
            next_nonce: 1,
            proposal: None,
            past: Vec::new(),
            peers: BTreeMap::new(),
            joining: BTreeMap::new(),
            asked_to_join_at: None,
            is_leaving: false,
        }
    }

    /// Returns this entry as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the adopted roster.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// Returns the adopted version; zero before the first.
    pub fn version(&self) -> u64 {
        self.roster.as_ref().map_or(0, |roster| roster.version)
    }

    /// Returns whether this incarnation is in the adopted roster.
    pub fn is_member(&self) -> bool {
        self.is_in_roster(&self.me.id)
    }

    pub(super) fn is_in_roster(&self, id: &MemberId) -> bool {
        let roster = self.roster.as_ref();
        roster.is_some_and(|roster| roster.member(id).is_some())
    }

    /// Returns whether the authority to accept new keys is fresh.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.is_member() && now < self.fresh_until
    }

    /// Returns whether this entry is proposing a change of the roster.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// Returns the time at which [`Membership::tick`] is due.
    pub fn next_tick(&self, now: Moment) -> Moment {
        let renew = self
            .renewed_at
            .map_or(now, |at| at + self.settings.renew_interval);
        let store_deadline = self
            .read_sent_at
            .filter(|_| self.round.is_none() && self.is_fresh(now))
            .map(|at| at + self.settings.store_timeout);
        store_deadline.map_or(renew, |store_deadline| renew.min(store_deadline.max(now)))
    }

    /// Performs the actions that are due: renewals, proposals and requests to join.
    pub fn tick(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.record_stopped(now);
        let renew_due = self
            .renewed_at
            .is_none_or(|at| now.monotonic.since(at) >= self.settings.renew_interval);
        if renew_due {
            self.renewed_at = Some(now.monotonic);
            self.round = None;
            self.read_now(now, out);
            self.ask_to_join(now, out);
        }
        let is_store_slow = self
            .read_sent_at
            .is_some_and(|at| now.monotonic.since(at) >= self.settings.store_timeout);
        if is_store_slow && self.round.is_none() {
            self.ask_peers(now, out);
        }
        self.propose_due(now, out);
    }
}
