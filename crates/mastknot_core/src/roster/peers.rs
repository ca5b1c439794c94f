//! Keeps what is known of the peers: their links, their incarnations, and the versions that they
//! have adopted.

use super::peer_view::PeerView;
use super::{Member, MemberId, Membership, MembershipEffect, Roster};
use crate::message::PeerMessage;
use crate::types::{Incarnation, Moment, NodeName, Now};

impl Membership {
    /// Returns whether a peer is connected.
    pub fn is_connected(&self, peer: &NodeName) -> bool {
        self.peers.get(peer).is_some_and(|view| view.is_connected)
    }

    /// Returns the names of the connected peers.
    pub fn connected(&self) -> impl Iterator<Item = &NodeName> {
        self.peers
            .iter()
            .filter(|(_, view)| view.is_connected)
            .map(|(name, _)| name)
    }

    /// Handles a new link to a peer that has sent its hello message.
    pub fn peer_connected(
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
        view.last_received_at = now.monotonic;
        view.adopted = view.adopted.max(version);
        if let Some(roster) = &self.roster
            && version < roster.version
        {
            out.push(MembershipEffect::ToPeer {
                peer: member.id.name.clone(),
                message: PeerMessage::NewRoster(roster.clone()),
            });
        }
        self.record_stopped(now);
        self.propose_due(now, out);
    }

    /// Handles the loss of the link to a peer, which is no proof that the peer is dead.
    pub fn peer_disconnected(&mut self, peer: &NodeName) {
        if let Some(view) = self.peers.get_mut(peer) {
            view.is_connected = false;
        }
    }

    /// Handles the proof that an incarnation of a peer is dead: its VM is gone from the platform's
    /// list, or refuses connections.
    pub fn peer_dead(&mut self, now: Now, id: &MemberId, out: &mut Vec<MembershipEffect>) {
        let view = self.view(now.monotonic, &id.name);
        view.dead_up_to = view.dead_up_to.max(Some(id.incarnation));
        if view.incarnation <= id.incarnation {
            view.is_connected = false;
        }
        self.record_stopped(now);
        self.propose_due(now, out);
    }

    /// Handles a VM that is gone from the platform's list. This proves the end of a member only
    /// if the member is disconnected and silent too.
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

    /// Records that a peer has handed over its whole ledger.
    pub fn peer_handed_over(&mut self, now: Now, peer: &NodeName) {
        self.view(now.monotonic, peer).has_handed_over = true;
    }

    /// Records the time of a message from a peer.
    pub fn peer_message_received(&mut self, now: Now, peer: &NodeName) {
        self.view(now.monotonic, peer).last_received_at = now.monotonic;
    }

    /// Records that a peer has adopted a version.
    pub fn peer_adopted(&mut self, now: Now, peer: &NodeName, version: u64) {
        let view = self.view(now.monotonic, peer);
        view.adopted = view.adopted.max(version);
        self.record_stopped(now);
    }

    pub(super) fn is_dead(&self, id: &MemberId) -> bool {
        if id.name == self.me.id.name {
            return id.incarnation < self.me.id.incarnation;
        }
        self.peers
            .get(&id.name)
            .is_some_and(|view| view.is_dead(id.incarnation))
    }

    pub(super) fn is_silent(&self, now: Moment, id: &MemberId) -> bool {
        let last_received = self.peers.get(&id.name).map(|view| view.last_received_at);
        last_received.is_some_and(|last_received| now.since(last_received) > self.settings.silence)
    }

    fn view(&mut self, now: Moment, peer: &NodeName) -> &mut PeerView {
        self.peers
            .entry(peer.clone())
            .or_insert_with(|| PeerView::new(Incarnation::default(), now))
    }
}
