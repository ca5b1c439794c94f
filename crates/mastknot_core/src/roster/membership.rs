use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::past_roster::PastRoster;
use super::peer_view::PeerView;
use super::{
    Acceptance, Member, MemberId, MembershipEffect, MembershipSettings, Roster, RosterWrite,
    WriteDecision,
};
use crate::message::PeerMessage;
use crate::types::{Incarnation, Moment, NodeName, Now, SubmissionKey};

/// How often a newcomer asks to be let in.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// How often a write without an answer is sent again.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// A question to all peers whether a version still stands.
#[derive(Clone, Debug)]
struct ConfirmRound {
    nonce: u64,
    sent_at: Moment,
    confirmed: BTreeSet<NodeName>,
}

/// A roster change that was sent to the store and is not known to be decided.
#[derive(Clone, Debug)]
struct Proposal {
    write: RosterWrite,
    sent_at: Moment,
}

/// One entry's part in the roster of entries.
///
/// It keeps the version it has adopted, its authority to accept new keys, and what it knows of
/// earlier holders. The rules, with the argument that no key is accepted by two entries, are in
/// `docs/design/submissions.md`.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Member,
    settings: MembershipSettings,
    roster: Option<Roster>,
    revision: u64,
    fresh_until: Moment,
    read_sent_at: Option<Moment>,
    renewed_at: Option<Moment>,
    round: Option<ConfirmRound>,
    next_nonce: u64,
    proposal: Option<Proposal>,
    past: Vec<PastRoster>,
    peers: BTreeMap<NodeName, PeerView>,
    joining: BTreeMap<NodeName, Member>,
    asked_to_join_at: Option<Moment>,
    is_leaving: bool,
}

impl Membership {
    /// An entry that has not read the roster yet.
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

    /// This entry as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The adopted roster.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// The adopted version, zero before the first.
    pub fn version(&self) -> u64 {
        self.roster.as_ref().map_or(0, |roster| roster.version)
    }

    /// Whether this run is in the adopted roster.
    pub fn is_member(&self) -> bool {
        self.roster
            .as_ref()
            .is_some_and(|roster| roster.member(&self.me.id).is_some())
    }

    /// Whether the authority to accept new keys is fresh.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.is_member() && now < self.fresh_until
    }

    /// Whether a change of the roster is under way here.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// Whether a peer is connected.
    pub fn is_connected(&self, peer: &NodeName) -> bool {
        self.peers.get(peer).is_some_and(|view| view.is_connected)
    }

    /// The connected peers.
    pub fn connected(&self) -> impl Iterator<Item = &NodeName> {
        self.peers
            .iter()
            .filter(|(_, view)| view.is_connected)
            .map(|(name, _)| name)
    }

    // ---- keys ----

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
            let Some(holder) = past.members.holder(key) else {
                continue;
            };
            if *holder == self.me.id {
                continue;
            }
            let Some(stopped) = past.stopped.get(holder) else {
                let over_at = past.learned_at + self.settings.takeover_wait();
                return Acceptance::NotYet(over_at.since(now.monotonic));
            };
            // The caller's clock and this one may each be off; two bounds cover both.
            let cannot_know = key.made_at() > stopped.plus(2 * self.settings.max_clock_skew);
            if cannot_know {
                continue;
            }
            let Some(view) = self.peers.get(&holder.name) else {
                is_unknown = true;
                continue;
            };
            if view.has_handed_over && view.incarnation == holder.incarnation {
                continue;
            }
            // One that is silent would keep the caller waiting; what it ran can be rebuilt.
            let is_silent = self.is_silent(now.monotonic, holder);
            if view.is_connected && !is_silent && !view.is_dead(holder.incarnation) {
                to_ask.push(holder.clone());
            } else {
                is_unknown = true;
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

    /// Whether this entry holds a key under the adopted version.
    pub fn holds(&self, key: SubmissionKey) -> bool {
        let holder = self.roster.as_ref().and_then(|roster| roster.holder(key));
        holder.is_some_and(|holder| holder.id == self.me.id)
    }

    /// Whether this entry can vouch that it never accepts a key under a version below `version`.
    pub fn has_adopted(&self, version: u64) -> bool {
        self.version() >= version
    }

    // ---- the store ----

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

    fn extend(&mut self, asked_at: Moment) {
        let until = asked_at + self.settings.authority;
        self.fresh_until = self.fresh_until.max(until);
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

    // ---- adopting ----

    fn adopt(&mut self, now: Now, roster: Roster, out: &mut Vec<MembershipEffect>) {
        self.remember_past(now, &roster);
        self.proposal = None;
        self.round = None;
        self.joining.retain(|name, member| {
            let held = roster.members.iter().find(|other| other.id.name == *name);
            held.is_none_or(|held| held.id != member.id)
        });
        self.roster = Some(roster.clone());
        self.note_stopped(now);
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

    /// Notes which earlier holders are known to accept nothing any more.
    fn note_stopped(&mut self, now: Now) {
        let wait = self.settings.takeover_wait();
        let adopted_by_me = self.version();
        for past in &mut self.past {
            let is_over = now.monotonic >= past.learned_at + wait;
            for id in &past.members.members {
                if past.stopped.contains_key(id) {
                    continue;
                }
                let view = self.peers.get(&id.name);
                let has_moved_on = if *id == self.me.id {
                    adopted_by_me > past.members.version
                } else {
                    view.is_some_and(|view| {
                        let same_run = view.incarnation == id.incarnation;
                        let adopted = same_run && view.adopted > past.members.version;
                        adopted || view.is_dead(id.incarnation)
                    })
                };
                let is_earlier_run_of_me =
                    id.name == self.me.id.name && id.incarnation < self.me.id.incarnation;
                if is_over || has_moved_on || is_earlier_run_of_me {
                    past.stopped.insert(id.clone(), now.wall);
                }
            }
        }
        self.forget_past(now);
    }

    fn forget_past(&mut self, now: Now) {
        let kept = self.settings.max_key_age + 3 * self.settings.max_clock_skew;
        let oldest = now.wall.minus(kept);
        self.past.retain(|past| {
            let all_stopped = past.stopped.len() == past.members.members.len();
            let last = past.stopped.values().max().copied().unwrap_or_default();
            !(all_stopped && last < oldest)
        });
    }

    // ---- proposing ----

    fn propose(
        &mut self,
        now: Now,
        expected_revision: u64,
        roster: Roster,
        out: &mut Vec<MembershipEffect>,
    ) {
        // From here on this entry confirms the old version to nobody.
        let kept = self.settings.max_key_age + 3 * self.settings.max_clock_skew;
        let oldest = now.wall.minus(kept).as_millis();
        let write = RosterWrite {
            expected_revision,
            roster: roster.forget_before(oldest),
        };
        self.proposal = Some(Proposal {
            write: write.clone(),
            sent_at: now.monotonic,
        });
        out.push(MembershipEffect::WriteRoster(write));
    }

    /// Proposes the change that is due, if this entry is the one to do it.
    fn propose_due(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        if let Some(proposal) = &mut self.proposal {
            if now.monotonic.since(proposal.sent_at) >= WRITE_INTERVAL {
                proposal.sent_at = now.monotonic;
                out.push(MembershipEffect::WriteRoster(proposal.write.clone()));
            }
            return;
        }
        let Some(roster) = self.roster.clone() else {
            return;
        };
        if self.revision == 0 {
            return;
        }
        let wall = now.wall.as_millis();
        if !self.is_member() {
            let all_dead = roster.member_ids().all(|id| self.is_dead(id));
            if all_dead && !self.is_leaving {
                let mut next = roster.with(self.me.clone(), wall);
                next.members.retain(|member| member.id == self.me.id);
                self.propose(now, self.revision, next, out);
            }
            return;
        }
        let is_proposer =
            self.is_fresh(now.monotonic) && self.is_first_alive(now.monotonic, &roster);
        if !is_proposer && !self.is_leaving {
            return;
        }
        if let Some(next) = self.due_change(now, &roster) {
            self.propose(now, self.revision, next, out);
        }
    }

    fn due_change(&self, now: Now, roster: &Roster) -> Option<Roster> {
        let wall = now.wall.as_millis();
        if self.is_leaving && roster.members.len() > 1 {
            return Some(roster.without(&self.me.id, wall));
        }
        let lost = roster.member_ids().find(|id| {
            **id != self.me.id && (self.is_dead(id) || self.is_silent(now.monotonic, id))
        });
        if let Some(id) = lost {
            let replacement = self.joining.get(&id.name);
            return Some(match replacement {
                Some(member) => roster.with(member.clone(), wall),
                None => roster.without(id, wall),
            });
        }
        let newcomer = self.joining.values().next()?;
        Some(roster.with(newcomer.clone(), wall))
    }

    /// Whether this entry is the first live member by name: it alone proposes, as a rule.
    fn is_first_alive(&self, now: Moment, roster: &Roster) -> bool {
        let mut alive = roster
            .member_ids()
            .filter(|id| **id == self.me.id || !(self.is_dead(id) || self.is_silent(now, id)));
        alive.next() == Some(&self.me.id)
    }

    fn is_dead(&self, id: &MemberId) -> bool {
        if id.name == self.me.id.name {
            return id.incarnation < self.me.id.incarnation;
        }
        self.peers
            .get(&id.name)
            .is_some_and(|view| view.is_dead(id.incarnation))
    }

    fn is_silent(&self, now: Moment, id: &MemberId) -> bool {
        let heard = self.peers.get(&id.name).map(|view| view.heard_at);
        heard.is_some_and(|heard| now.since(heard) > self.settings.silence)
    }

    // ---- peers ----

    fn view(&mut self, now: Moment, peer: &NodeName) -> &mut PeerView {
        self.peers
            .entry(peer.clone())
            .or_insert_with(|| PeerView::new(Incarnation::default(), now))
    }

    /// A link to a peer stands and it said who it is.
    pub fn peer_joined(
        &mut self,
        now: Now,
        member: &Member,
        version: u64,
        out: &mut Vec<MembershipEffect>,
    ) {
        let view = self.view(now.monotonic, &member.id.name);
        if member.id.incarnation < view.incarnation {
            return;
        }
        if member.id.incarnation > view.incarnation {
            let dead_up_to = view.dead_up_to;
            *view = PeerView::new(member.id.incarnation, now.monotonic);
            view.dead_up_to = dead_up_to;
        }
        view.is_connected = true;
        view.heard_at = now.monotonic;
        view.adopted = view.adopted.max(version);
        if let Some(roster) = &self.roster
            && version < roster.version
        {
            out.push(MembershipEffect::ToPeer {
                peer: member.id.name.clone(),
                message: PeerMessage::NewRoster(roster.clone()),
            });
        }
        self.note_stopped(now);
        self.propose_due(now, out);
    }

    /// The link to a peer broke, which proves nothing about it.
    pub fn peer_left(&mut self, peer: &NodeName) {
        if let Some(view) = self.peers.get_mut(peer) {
            view.is_connected = false;
        }
    }

    /// A run of a peer is proven dead: its VM is gone from the list, or refuses connections.
    pub fn peer_dead(&mut self, now: Now, id: &MemberId, out: &mut Vec<MembershipEffect>) {
        let view = self.view(now.monotonic, &id.name);
        view.dead_up_to = view.dead_up_to.max(Some(id.incarnation));
        if view.incarnation <= id.incarnation {
            view.is_connected = false;
        }
        self.note_stopped(now);
        self.propose_due(now, out);
    }

    /// A VM is gone from the platform's list: proof of death for a member that is silent too.
    pub fn vm_gone(&mut self, now: Now, vm: &NodeName, out: &mut Vec<MembershipEffect>) {
        let member = self
            .roster
            .iter()
            .flat_map(Roster::member_ids)
            .find(|id| id.name == *vm && id.name != self.me.id.name)
            .cloned();
        let Some(id) = member else {
            return;
        };
        if !self.is_connected(vm) && self.is_silent(now.monotonic, &id) {
            self.peer_dead(now, &id, out);
        }
    }

    /// A peer has handed its whole ledger over.
    pub fn peer_handed_over(&mut self, now: Now, peer: &NodeName) {
        self.view(now.monotonic, peer).has_handed_over = true;
    }

    /// Anything came from a peer.
    pub fn peer_heard(&mut self, now: Now, peer: &NodeName) {
        self.view(now.monotonic, peer).heard_at = now.monotonic;
    }

    /// A peer asks whether this entry still stands by a version.
    pub fn confirm_asked(
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

    /// A peer told of a roster.
    pub fn roster_told(&mut self, now: Now, roster: Roster, out: &mut Vec<MembershipEffect>) {
        if roster.version > self.version() {
            // The store's revision of this version is not known yet.
            self.revision = 0;
            self.adopt(now, roster, out);
            self.read_now(now, out);
        }
    }

    /// A peer has adopted a version.
    pub fn peer_adopted(&mut self, now: Now, peer: &NodeName, version: u64) {
        let view = self.view(now.monotonic, peer);
        view.adopted = view.adopted.max(version);
        self.note_stopped(now);
    }

    /// A newcomer asks to be written into the roster.
    pub fn join_asked(&mut self, now: Now, member: Member, out: &mut Vec<MembershipEffect>) {
        let is_in = self
            .roster
            .as_ref()
            .is_some_and(|roster| roster.member(&member.id).is_some());
        if is_in {
            return;
        }
        self.joining.insert(member.id.name.clone(), member);
        self.propose_due(now, out);
    }

    /// The entry stops by plan: it asks to be written out of the roster.
    pub fn leave(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.is_leaving = true;
        self.propose_due(now, out);
    }

    // ---- time ----

    /// When [`Membership::tick`] is due.
    pub fn next_tick(&self, now: Moment) -> Moment {
        let renew = self
            .renewed_at
            .map_or(now, |at| at + self.settings.renew_interval);
        let patience = self
            .read_sent_at
            .filter(|_| self.round.is_none() && self.is_fresh(now))
            .map(|at| at + self.settings.store_patience);
        patience.map_or(renew, |patience| renew.min(patience.max(now)))
    }

    /// Time has passed: renewals, proposals, joins.
    pub fn tick(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.note_stopped(now);
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
            .is_some_and(|at| now.monotonic.since(at) >= self.settings.store_patience);
        if is_store_slow && self.round.is_none() {
            self.ask_peers(now, out);
        }
        self.propose_due(now, out);
    }

    fn read_now(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.read_sent_at.get_or_insert(now.monotonic);
        out.push(MembershipEffect::ReadRoster);
    }

    /// The store does not answer: asks every other member to confirm the version.
    fn ask_peers(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
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

    fn ask_to_join(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        let is_due = self
            .asked_to_join_at
            .is_none_or(|at| now.monotonic.since(at) >= JOIN_INTERVAL);
        if self.is_member() || self.is_leaving || self.roster.is_none() || !is_due {
            return;
        }
        self.asked_to_join_at = Some(now.monotonic);
        let message = PeerMessage::Join(self.me.clone());
        out.push(MembershipEffect::ToPeers(message));
    }
}
