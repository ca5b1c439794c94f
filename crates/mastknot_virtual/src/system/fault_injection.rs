//! Bringing faults about.

use std::time::Duration;

use mastknot_core::entry::EntryEvent;
use mastknot_core::side::SideEvent;
use mastknot_core::types::{Hall, Incarnation, NodeName};

use super::virtual_system::*;
use super::{EntryIndex, SideIndex};
use crate::{FaultRule, MessageKind, ProcessFault, Trigger};

/// How long until a broken link is noticed and, for a dead process, the refusal is seen.
const NOTICE: Duration = Duration::from_millis(300);

/// How long messages into a cut wait before the link counts as broken.
const CUT_LIMIT: Duration = Duration::from_secs(5);

impl VirtualSystem {
    /// The next `count` messages of a kind meet a fate.
    pub fn add_rule(&mut self, rule: FaultRule) {
        self.rules.push(rule);
    }

    /// A process fault at the next message of a kind.
    pub fn add_trigger(&mut self, trigger: Trigger) {
        self.triggers.push(trigger);
    }

    /// Fires the triggers of a message between an entry and, where there is one, a side.
    pub(super) fn fire(
        &mut self,
        kind: MessageKind,
        entry: Option<EntryIndex>,
        side: Option<SideIndex>,
    ) {
        let mut due = Vec::new();
        self.triggers.retain_mut(|trigger| {
            if trigger.kind != kind {
                return true;
            }
            if trigger.skip > 0 {
                trigger.skip -= 1;
                return true;
            }
            due.push(*trigger);
            false
        });
        for trigger in due {
            if trigger.hits_side {
                let index = side.unwrap_or(0);
                let incarnation = self.sides[index].settings.incarnation;
                let action = Action::HitSide(index, incarnation, trigger.fault);
                self.schedule.add(self.now, action);
            } else {
                let index = entry.unwrap_or(0);
                let incarnation = self.entries[index].incarnation();
                let action = Action::HitEntry(index, incarnation, trigger.fault);
                self.schedule.add(self.now, action);
            }
        }
    }

    pub(super) fn hit_entry(
        &mut self,
        index: EntryIndex,
        incarnation: Incarnation,
        fault: ProcessFault,
    ) {
        if self.entries[index].incarnation() != incarnation || !self.is_up(index) {
            return;
        }
        match fault {
            ProcessFault::Dies => self.kill_entry(index),
            ProcessFault::Restarts(after) => {
                self.kill_entry(index);
                let at = self.now + after.as_micros() as u64;
                self.schedule.add(at, Action::StartEntry(index));
            }
            ProcessFault::Pauses(time) => self.pause_entry(index, time),
        }
    }

    pub(super) fn hit_side(
        &mut self,
        index: SideIndex,
        incarnation: Incarnation,
        fault: ProcessFault,
    ) {
        let side = &self.sides[index];
        if side.settings.incarnation != incarnation || side.core.is_none() {
            return;
        }
        match fault {
            ProcessFault::Dies => self.kill_side(index),
            ProcessFault::Restarts(after) => {
                self.kill_side(index);
                let at = self.now + after.as_micros() as u64;
                self.schedule.add(at, Action::StartSide(index));
            }
            ProcessFault::Pauses(time) => self.pause_side(index, time),
        }
    }

    /// A lagging or wrong VM list: every entry reads that a VM is gone.
    pub fn report_vm_gone(&mut self, name: &str) {
        for entry in 0..self.entries.len() {
            let vm = name.into();
            self.at_entry(self.now, entry, EntryEvent::VmGone { vm });
        }
    }

    /// How many entries there are, dead ones included.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// How many sides there are, dead ones included.
    pub fn side_count(&self) -> usize {
        self.sides.len()
    }

    /// The run of an entry; it tells whether a request was sent to an earlier one.
    pub fn entry_incarnation(&self, entry: EntryIndex) -> Incarnation {
        self.entries[entry].incarnation()
    }

    /// An entry's process dies, and its VM refuses connections.
    pub fn kill_entry(&mut self, index: EntryIndex) {
        let id = self.entries[index].settings.me.id.clone();
        self.entries[index].core = None;
        for other in 0..self.entries.len() {
            if other != index && self.is_up(other) {
                let lost = EntryEvent::PeerLost { peer: id.clone() };
                let dead = EntryEvent::PeerDead { peer: id.clone() };
                let soon = self.now + self.delays.between_halls.as_micros() as u64;
                self.at_entry(soon, other, lost);
                self.at_entry(soon + NOTICE.as_micros() as u64, other, dead);
            }
        }
        for side in 0..self.sides.len() {
            if self.sides[side].links.remove(&id.name) {
                let entry = id.name.clone();
                self.at_side(self.now + 1, side, SideEvent::EntryLeft { entry });
            }
        }
    }

    /// A side's process dies; its target ends what it runs without telling anyone.
    pub fn kill_side(&mut self, index: SideIndex) {
        let side = &mut self.sides[index];
        side.core = None;
        side.runs.clear();
        side.links.clear();
        let name = side.settings.side.clone();
        let incarnation = side.settings.incarnation;
        for entry in 0..self.entries.len() {
            let event = EntryEvent::SideLost {
                side: name.clone(),
                incarnation,
            };
            self.at_entry(self.now + 1, entry, event);
        }
    }

    /// Pauses an entry for a while: what arrives waits.
    pub fn pause_entry(&mut self, index: EntryIndex, time: Duration) {
        self.entries[index].paused_until = self.now + time.as_micros() as u64;
    }

    /// Pauses a side for a while; its target goes on.
    pub fn pause_side(&mut self, index: SideIndex, time: Duration) {
        self.sides[index].paused_until = self.now + time.as_micros() as u64;
    }

    /// Cuts two halls apart.
    pub fn partition(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
        self.cut_number += 1;
    }

    /// Joins two halls again: what waited arrives, and links that broke stand again.
    pub fn heal(&mut self, a: &str, b: &str) {
        self.cuts.remove(&(a.into(), b.into()));
        self.cuts.remove(&(b.into(), a.into()));
        self.cut_number += 1;
        for (_, actions) in std::mem::take(&mut self.held) {
            for action in actions {
                self.schedule.add(self.now, action);
            }
        }
        let broken = std::mem::take(&mut self.broken);
        for first in 0..self.entries.len() {
            for second in 0..first {
                let pair = (self.entries[first].name(), self.entries[second].name());
                let is_broken = broken.contains(&(pair.0.clone(), pair.1.clone()))
                    || broken.contains(&(pair.1.clone(), pair.0.clone()));
                if is_broken && self.is_up(first) && self.is_up(second) {
                    self.link_entries(first, second);
                }
            }
            for side in 0..self.sides.len() {
                let name = self.entries[first].name().clone();
                if !self.sides[side].links.contains(&name) {
                    self.link_side(side, first);
                }
            }
        }
    }

    pub(super) fn name_of(&self, end: End) -> NodeName {
        match end {
            End::Entry(index) => self.entries[index].name().clone(),
            End::Side(index) => self.sides[index].settings.side.clone(),
        }
    }

    /// Holds a message back while its link is cut; the link breaks if that takes too long.
    pub(super) fn hold(&mut self, from: End, to: End, action: Action) {
        let link = (self.name_of(from), self.name_of(to));
        if self.broken.contains(&link) {
            return;
        }
        let is_first = !self.held.contains_key(&link);
        self.held.entry(link).or_default().push(action);
        if is_first {
            let cut_number = self.cut_number;
            let at = self.now + CUT_LIMIT.as_micros() as u64;
            let breaks = Action::BreakLink {
                from,
                to,
                cut_number,
            };
            self.schedule.add(at, breaks);
        }
    }

    /// Bytes into a cut were not acknowledged for too long: both ends see the link break.
    pub(super) fn break_link(&mut self, from: End, to: End, cut_number: u64) {
        let link = (self.name_of(from), self.name_of(to));
        let is_old = cut_number != self.cut_number;
        if is_old || !self.broken.insert(link.clone()) {
            return;
        }
        self.held.remove(&link);
        match (from, to) {
            (End::Entry(entry), End::Side(side)) | (End::Side(side), End::Entry(entry)) => {
                self.break_side_link(entry, side);
            }
            (End::Entry(a), End::Entry(b)) => {
                for (at, other) in [(a, b), (b, a)] {
                    let peer = self.entries[other].settings.me.id.clone();
                    self.at_entry(self.now, at, EntryEvent::PeerLost { peer });
                }
            }
            (End::Side(_), End::Side(_)) => {}
        }
    }

    pub(super) fn is_cut(&self, a: &Hall, b: &Hall) -> bool {
        self.cuts.contains(&(a.clone(), b.clone()))
    }

    /// Sets a target's speed, in percent of the usual time.
    pub fn set_target_slowdown(&mut self, side: SideIndex, percent: u64) {
        self.sides[side].slow_percent = percent;
    }

    /// Makes a target refuse connections, or stop doing so.
    pub fn set_refusing(&mut self, side: SideIndex, is_refusing: bool) {
        self.sides[side].is_refusing = is_refusing;
    }

    /// Makes a target lose its next answers.
    pub fn lose_target_answers(&mut self, side: SideIndex, count: u32) {
        self.sides[side].lose_answers = count;
    }

    /// Moves an entry's wall clock ahead (or back).
    pub fn set_clock_skew(&mut self, entry: EntryIndex, skew_ms: i64) {
        self.entries[entry].skew_ms = skew_ms;
    }
}
