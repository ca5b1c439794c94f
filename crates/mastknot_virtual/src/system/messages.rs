//! Delivers messages between processes and applies the faults of messages.

use mastknot_core::entry::EntryEvent;
use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};
use mastknot_core::side::SideEvent;
use mastknot_core::types::{Hall, NodeName};

use super::virtual_system::*;
use super::{EntryIndex, SideIndex};
use crate::{MessageFault, MessageKind};

impl VirtualSystem {
    /// Returns the arrival time of a message that is sent now; messages of one link keep their order.
    pub(super) fn delivery(&mut self, from: (NodeName, Hall), to: (NodeName, Hall)) -> u64 {
        let delay = self.delays.between(&from.1, &to.1).as_micros() as u64;
        let latest = self.latest.entry((from.0, to.0)).or_default();
        *latest = (*latest).max(self.now + delay);
        *latest
    }

    /// Returns the times at which a message arrives under the fault rules in force: none if it is lost, two
    /// if it is duplicated.
    pub(super) fn arrivals(&mut self, kind: MessageKind, at: u64) -> Vec<u64> {
        let found = self
            .rules
            .iter_mut()
            .find(|rule| rule.kind == kind && rule.count > 0);
        let Some(rule) = found else {
            return vec![at];
        };
        rule.count -= 1;
        match rule.fault {
            MessageFault::Lost => vec![],
            MessageFault::Delayed(by) => vec![at + by.as_micros() as u64],
            MessageFault::Duplicated(by) => vec![at, at + by.as_micros() as u64],
        }
    }

    pub(super) fn send_to_side(&mut self, from: EntryIndex, to: SideIndex, message: EntryMessage) {
        let kind = MessageKind::from(&message);
        self.messages.record(kind);
        self.fire_triggers(kind, Some(from), Some(to));
        let (a, b) = (
            entry_name_and_hall(&self.entries[from]),
            side_name_and_hall(&self.sides[to]),
        );
        let entry = a.0.clone();
        if !self.sides[to].links.contains(&entry) {
            return;
        }
        if self.is_partitioned(&a.1, &b.1) {
            let incarnation = self.sides[to].settings.incarnation;
            let event = Box::new(SideEvent::FromEntry { entry, message });
            let action = Action::ToSide {
                side: to,
                incarnation,
                event,
            };
            return self.hold(LinkEnd::Entry(from), LinkEnd::Side(to), action);
        }
        let at = self.delivery(a, b);
        for at in self.arrivals(kind, at) {
            let entry = entry.clone();
            let message = message.clone();
            self.at_side(at, to, SideEvent::FromEntry { entry, message });
        }
    }

    pub(super) fn send_to_entry(&mut self, from: SideIndex, to: EntryIndex, message: SideMessage) {
        let kind = MessageKind::from(&message);
        self.messages.record(kind);
        self.fire_triggers(kind, Some(to), Some(from));
        let (a, b) = (
            side_name_and_hall(&self.sides[from]),
            entry_name_and_hall(&self.entries[to]),
        );
        let side = a.0.clone();
        let incarnation = self.sides[from].settings.incarnation;
        if self.is_partitioned(&a.1, &b.1) {
            let event = Box::new(EntryEvent::FromSide {
                side,
                incarnation,
                message,
            });
            let action = Action::ToEntry {
                entry: to,
                incarnation: self.entries[to].incarnation(),
                event,
            };
            return self.hold(LinkEnd::Side(from), LinkEnd::Entry(to), action);
        }
        let at = self.delivery(a, b);
        for at in self.arrivals(kind, at) {
            let event = EntryEvent::FromSide {
                side: side.clone(),
                incarnation,
                message: message.clone(),
            };
            self.at_entry(at, to, event);
        }
    }

    pub(super) fn break_side_link(&mut self, entry: EntryIndex, side: SideIndex) {
        let name = self.entries[entry].name().clone();
        if !self.sides[side].links.remove(&name) {
            return;
        }
        let event = EntryEvent::SideLost {
            side: self.sides[side].settings.side.clone(),
            incarnation: self.sides[side].settings.incarnation,
        };
        self.at_entry(self.now, entry, event);
        self.at_side(self.now, side, SideEvent::EntryLeft { entry: name });
    }

    pub(super) fn send_to_peer(&mut self, from: EntryIndex, to: EntryIndex, message: PeerMessage) {
        let kind = MessageKind::from(&message);
        self.messages.record(kind);
        self.fire_triggers(kind, Some(to), None);
        let (a, b) = (
            entry_name_and_hall(&self.entries[from]),
            entry_name_and_hall(&self.entries[to]),
        );
        let peer = self.entries[from].settings.me.id.clone();
        if self.is_partitioned(&a.1, &b.1) {
            let event = Box::new(EntryEvent::FromPeer { peer, message });
            let action = Action::ToEntry {
                entry: to,
                incarnation: self.entries[to].incarnation(),
                event,
            };
            return self.hold(LinkEnd::Entry(from), LinkEnd::Entry(to), action);
        }
        let at = self.delivery(a, b);
        for at in self.arrivals(kind, at) {
            let event = EntryEvent::FromPeer {
                peer: peer.clone(),
                message: message.clone(),
            };
            self.at_entry(at, to, event);
        }
    }
}
