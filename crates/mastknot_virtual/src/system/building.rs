//! Starts entries and sides and links them.

use std::collections::{BTreeSet, HashMap};

use mastknot_core::entry::{EntryCore, EntrySettings};
use mastknot_core::message::PeerMessage;
use mastknot_core::roster::{Member, MemberId};
use mastknot_core::side::{SideCore, SideEvent, SideSettings};
use mastknot_core::types::Incarnation;

use super::nodes::{Entry, Side};
use super::virtual_system::*;
use super::{EntryIndex, SideIndex};

impl VirtualSystem {
    /// Starts an entry named `entry-N` in a hall; `change` adjusts its settings.
    pub fn add_entry(
        &mut self,
        hall: &str,
        change: impl FnOnce(EntrySettings) -> EntrySettings,
    ) -> EntryIndex {
        let index = self.entries.len();
        let id = MemberId {
            name: format!("entry-{}", index + 1).into(),
            incarnation: Incarnation(0),
        };
        let me = Member {
            id,
            address: format!("entry-{}", index + 1),
            hall: hall.into(),
        };
        self.entries.push(Entry {
            settings: change(EntrySettings::new(me)),
            core: None,
            paused_until: 0,
            tick_at: None,
            skew_ms: 0,
            delivered_version: 0,
            stopped: false,
        });
        self.start_entry(index);
        index
    }

    /// Starts a side named `side-N` in a hall with the given number of slots.
    pub fn add_side(&mut self, hall: &str, slots: u16) -> SideIndex {
        let index = self.sides.len();
        let name = format!("side-{}", index + 1);
        self.sides.push(Side {
            settings: SideSettings::new(name, hall).slots(slots),
            core: None,
            paused_until: 0,
            tick_at: None,
            runs: HashMap::new(),
            next_run: 0,
            slow_percent: 100,
            is_refusing: false,
            lose_answers: 0,
            leaving_since: None,
            links: BTreeSet::new(),
        });
        self.start_side(index);
        index
    }

    pub(super) fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation(self.next_incarnation)
    }

    /// Restarts a dead entry as a new incarnation.
    pub fn start_entry(&mut self, index: EntryIndex) {
        let incarnation = self.new_incarnation();
        let entry = &mut self.entries[index];
        entry.settings.me.id.incarnation = incarnation;
        entry.core = Some(EntryCore::new(entry.settings.clone()));
        entry.paused_until = 0;
        entry.tick_at = None;
        entry.delivered_version = 0;
        entry.stopped = false;
        let name = entry.name().clone();
        self.audit.record_restart(&name);
        for other in 0..self.entries.len() {
            if other != index && self.is_up(other) {
                self.link_entries(index, other);
            }
        }
        for side in 0..self.sides.len() {
            self.link_side(side, index);
        }
        self.schedule
            .add(self.now, Action::TickEntry(index, incarnation));
        self.schedule
            .add(self.now, Action::Feed(index, incarnation));
    }

    /// Restarts a dead side as a new incarnation.
    pub fn start_side(&mut self, index: SideIndex) {
        let incarnation = self.new_incarnation();
        let side = &mut self.sides[index];
        side.settings.incarnation = incarnation;
        side.core = Some(SideCore::new(side.settings.clone()));
        side.paused_until = 0;
        side.tick_at = None;
        side.leaving_since = None;
        side.links.clear();
        let name = side.settings.side.clone();
        self.audit.record_restart(&name);
        for entry in 0..self.entries.len() {
            self.link_side(index, entry);
        }
    }

    pub(super) fn is_up(&self, entry: EntryIndex) -> bool {
        self.entries[entry].core.is_some()
    }

    pub(super) fn link_entries(&mut self, a: EntryIndex, b: EntryIndex) {
        for (from, to) in [(a, b), (b, a)] {
            let Some(core) = &self.entries[from].core else {
                return;
            };
            let message = PeerMessage::Hello {
                member: core.membership().me().clone(),
                roster_version: core.membership().version(),
                config_version: core.config().version(),
            };
            self.send_to_peer(from, to, message);
        }
    }

    pub(super) fn link_side(&mut self, side: SideIndex, entry: EntryIndex) {
        if self.sides[side].core.is_none() || !self.is_up(entry) {
            return;
        }
        let name = self.entries[entry].name().clone();
        self.sides[side].links.insert(name.clone());
        let at = self.delivery(
            side_name_and_hall(&self.sides[side]),
            entry_name_and_hall(&self.entries[entry]),
        );
        let event = SideEvent::EntryJoined { entry: name };
        self.at_side(at, side, event);
    }
}
