//! Links to sides and peers: the incarnation at the other end of each link, and the messages over
//! it.

use kameo::message::{Context, Message};
use log::{debug, info};
use mastknot_core::entry::EntryEvent;
use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};
use mastknot_core::roster::MemberId;
use mastknot_core::types::{Incarnation, NodeName};
use mastknot_wire::LinkSender;

use super::EntryActor;
use super::messages::{FromPeer, FromSide, LinkDown, PeerUp, SideUp};

/// Link to one incarnation of a side.
pub(super) struct SideLink {
    incarnation: Incarnation,
    link: u64,
    pub(super) sender: LinkSender<EntryMessage>,
}

/// One open link to a peer.
struct PeerLink {
    link: u64,
    sender: LinkSender<PeerMessage>,
}

/// Links to one incarnation of a peer. Messages go over the oldest open link until it closes.
pub(super) struct Peer {
    incarnation: Incarnation,
    links: Vec<PeerLink>,
}

impl Message<SideUp> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, up: SideUp, _: &mut Context<Self, Self::Reply>) {
        let side = up.hello.side.clone();
        let incarnation = up.hello.incarnation;
        let held = self.sides.get(&side);
        if held.is_some_and(|link| link.incarnation > incarnation) {
            return;
        }
        info!(side = side.as_str(), hall = up.hello.hall.as_str(); "side joined");
        if let Some(old) = self.sides.remove(&side) {
            let incarnation = old.incarnation;
            let side = side.clone();
            self.step(EntryEvent::SideLost { side, incarnation });
        }
        let link = SideLink {
            incarnation,
            link: up.link,
            sender: up.sender,
        };
        self.sides.insert(side.clone(), link);
        let message = SideMessage::Hello(up.hello);
        self.step(EntryEvent::FromSide {
            side,
            incarnation,
            message,
        });
    }
}

impl Message<PeerUp> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, up: PeerUp, _: &mut Context<Self, Self::Reply>) {
        let id = up.member.id.clone();
        if id.name == self.core.membership().me().id.name {
            return;
        }
        let peer = self.peers.entry(id.name.clone()).or_insert_with(|| Peer {
            incarnation: id.incarnation,
            links: Vec::new(),
        });
        if peer.incarnation > id.incarnation {
            return;
        }
        if peer.incarnation < id.incarnation {
            peer.incarnation = id.incarnation;
            peer.links.clear();
        }
        peer.links.push(PeerLink {
            link: up.link,
            sender: up.sender,
        });
        info!(peer = id.name.as_str(); "peer joined");
        let message = PeerMessage::Hello {
            member: up.member,
            roster_version: up.roster_version,
            config_version: up.config_version,
        };
        self.step(EntryEvent::FromPeer { peer: id, message });
    }
}

impl Message<FromSide> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, from: FromSide, _: &mut Context<Self, Self::Reply>) {
        for message in from.messages {
            self.step(EntryEvent::FromSide {
                side: from.side.clone(),
                incarnation: from.incarnation,
                message,
            });
        }
    }
}

impl Message<FromPeer> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, from: FromPeer, _: &mut Context<Self, Self::Reply>) {
        for message in from.messages {
            let peer = from.peer.clone();
            self.step(EntryEvent::FromPeer { peer, message });
        }
    }
}

impl Message<LinkDown> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, down: LinkDown, _: &mut Context<Self, Self::Reply>) {
        match down {
            LinkDown::Side {
                side,
                incarnation,
                link,
            } => self.side_link_down(side, incarnation, link),
            LinkDown::Peer { peer, link } => self.peer_link_down(peer, link),
        }
    }
}

impl EntryActor {
    pub(super) fn send_to_side(&mut self, side: &NodeName, message: EntryMessage) {
        if let Some(link) = self.sides.get(side)
            && let Err(error) = link.sender.send(message)
        {
            debug!(side = side.as_str(); "message to a side not sent: {error}");
        }
    }

    pub(super) fn send_to_peer(&mut self, peer: &NodeName, message: PeerMessage) {
        let Some(held) = self.peers.get(peer) else {
            return;
        };
        let Some(link) = held.links.first() else {
            return;
        };
        if let Err(error) = link.sender.send(message) {
            debug!(peer = peer.as_str(); "message to a peer not sent: {error}");
        }
    }

    fn side_link_down(&mut self, side: NodeName, incarnation: Incarnation, link: u64) {
        let is_current = self.sides.get(&side).is_some_and(|held| held.link == link);
        if is_current {
            info!(side = side.as_str(); "side lost");
            self.sides.remove(&side);
            self.step(EntryEvent::SideLost { side, incarnation });
        }
    }

    fn peer_link_down(&mut self, peer: MemberId, link: u64) {
        let Some(held) = self.peers.get_mut(&peer.name) else {
            return;
        };
        if held.incarnation != peer.incarnation {
            return;
        }
        held.links.retain(|other| other.link != link);
        if held.links.is_empty() {
            info!(peer = peer.name.as_str(); "peer lost");
            self.peers.remove(&peer.name);
            self.step(EntryEvent::PeerLost { peer });
        }
    }
}
