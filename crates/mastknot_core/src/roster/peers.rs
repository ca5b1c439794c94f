//! What is known of the peers: their links, their runs, and the versions they have adopted.

use super::peer_view::PeerView;
use super::{Member, MemberId, Membership, MembershipEffect, Roster};
use crate::message::PeerMessage;
use crate::types::{Incarnation, Moment, NodeName, Now};

impl Membership {
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

    /// A link to a peer stands and it said who it is.
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
    pub fn peer_disconnected(&mut self, peer: &NodeName) {
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
    pub fn peer_message_received(&mut self, now: Now, peer: &NodeName) {
        self.view(now.monotonic, peer).heard_at = now.monotonic;
    }

    /// A peer has adopted a version.
    pub fn peer_adopted(&mut self, now: Now, peer: &NodeName, version: u64) {
        let view = self.view(now.monotonic, peer);
        view.adopted = view.adopted.max(version);
        self.note_stopped(now);
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
        let heard = self.peers.get(&id.name).map(|view| view.heard_at);
        heard.is_some_and(|heard| now.since(heard) > self.settings.silence)
    }

    fn view(&mut self, now: Moment, peer: &NodeName) -> &mut PeerView {
        self.peers
            .entry(peer.clone())
            .or_insert_with(|| PeerView::new(Incarnation::default(), now))
    }
}
