//! Injects faults into the system.

use std::time::Duration;

use mastknot_core::entry::EntryEvent;
use mastknot_core::side::SideEvent;
use mastknot_core::types::{Hall, Incarnation, NodeName};

use super::virtual_system::*;
use super::{EntryIndex, SideIndex};
use crate::{FaultRule, MessageKind, ProcessFault, Trigger};

/// Time from the loss of the links to a dead entry until its peers notice that its VM refuses connections.
const DEATH_NOTICE_DELAY: Duration = Duration::from_millis(300);

/// Time that messages wait in a partition before the link counts as broken.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(5);

impl VirtualSystem {
    /// Adds a rule that applies a fault to the next messages of a kind.
    pub fn add_rule(&mut self, rule: FaultRule) {
        self.rules.push(rule);
    }

    /// Adds a process fault that a message of a kind triggers.
    pub fn add_trigger(&mut self, trigger: Trigger) {
        self.triggers.push(trigger);
    }

    /// Fires the triggers of a message between an entry and, if one takes part, a side.
    pub(super) fn fire_triggers(
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
                let action = Action::FaultAtSide(index, incarnation, trigger.fault);
                self.schedule.add(self.now, action);
            } else {
                let index = entry.unwrap_or(0);
                let incarnation = self.entries[index].incarnation();
                let action = Action::FaultAtEntry(index, incarnation, trigger.fault);
                self.schedule.add(self.now, action);
            }
        }
    }

    pub(super) fn apply_entry_fault(
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

    pub(super) fn apply_side_fault(
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

    /// Reports to every entry that a VM is gone, as a delayed or wrong VM list does.
    pub fn report_vm_gone(&mut self, name: &str) {
        for entry in 0..self.entries.len() {
            let vm = name.into();
            self.at_entry(self.now, entry, EntryEvent::VmGone { vm });
        }
    }

    /// Returns the number of entries, including dead ones.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of sides, including dead ones.
    pub fn side_count(&self) -> usize {
        self.sides.len()
    }

    /// Returns the incarnation of an entry. Tests compare it with the incarnation that a request was sent to.
    pub fn entry_incarnation(&self, entry: EntryIndex) -> Incarnation {
        self.entries[entry].incarnation()
    }

    /// Kills the process of an entry; its VM then refuses connections.
    pub fn kill_entry(&mut self, index: EntryIndex) {
        let id = self.entries[index].settings.me.id.clone();
        self.entries[index].core = None;
        for other in 0..self.entries.len() {
            if other != index && self.is_up(other) {
                let lost = EntryEvent::PeerLost { peer: id.clone() };
                let dead = EntryEvent::PeerDead { peer: id.clone() };
                let noticed_at = self.now + self.delays.between_halls.as_micros() as u64;
                self.at_entry(noticed_at, other, lost);
                self.at_entry(
                    noticed_at + DEATH_NOTICE_DELAY.as_micros() as u64,
                    other,
                    dead,
                );
            }
        }
        for side in 0..self.sides.len() {
            if self.sides[side].links.remove(&id.name) {
                let entry = id.name.clone();
                self.at_side(self.now + 1, side, SideEvent::EntryLeft { entry });
            }
        }
    }

    /// Kills the process of a side. Its target ends all runs without a report.
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

    /// Pauses an entry for the given time; events for it wait until it resumes.
    pub fn pause_entry(&mut self, index: EntryIndex, time: Duration) {
        self.entries[index].paused_until = self.now + time.as_micros() as u64;
    }

    /// Pauses a side for the given time; its target continues to run.
    pub fn pause_side(&mut self, index: SideIndex, time: Duration) {
        self.sides[index].paused_until = self.now + time.as_micros() as u64;
    }

    /// Partitions two halls from each other.
    pub fn partition(&mut self, a: &str, b: &str) {
        self.partitions.insert((a.into(), b.into()));
        self.partitions.insert((b.into(), a.into()));
        self.partition_number += 1;
    }

    /// Ends the partition between two halls: messages that waited are delivered, and broken links are made
    /// again.
    pub fn heal(&mut self, a: &str, b: &str) {
        self.partitions.remove(&(a.into(), b.into()));
        self.partitions.remove(&(b.into(), a.into()));
        self.partition_number += 1;
        for (_, actions) in std::mem::take(&mut self.held_messages) {
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

    pub(super) fn name_of(&self, end: LinkEnd) -> NodeName {
        match end {
            LinkEnd::Entry(index) => self.entries[index].name().clone(),
            LinkEnd::Side(index) => self.sides[index].settings.side.clone(),
        }
    }

    /// Holds a message back during a partition. The link breaks if the partition lasts too long.
    pub(super) fn hold(&mut self, from: LinkEnd, to: LinkEnd, action: Action) {
        let link = (self.name_of(from), self.name_of(to));
        if self.broken.contains(&link) {
            return;
        }
        let is_first = !self.held_messages.contains_key(&link);
        self.held_messages.entry(link).or_default().push(action);
        if is_first {
            let partition_number = self.partition_number;
            let at = self.now + PARTITION_TIMEOUT.as_micros() as u64;
            let break_action = Action::BreakLink {
                from,
                to,
                partition_number,
            };
            self.schedule.add(at, break_action);
        }
    }

    /// Breaks a link at both ends, because bytes sent during a partition were not acknowledged in time.
    pub(super) fn break_link(&mut self, from: LinkEnd, to: LinkEnd, partition_number: u64) {
        let link = (self.name_of(from), self.name_of(to));
        let is_old = partition_number != self.partition_number;
        if is_old || !self.broken.insert(link.clone()) {
            return;
        }
        self.held_messages.remove(&link);
        match (from, to) {
            (LinkEnd::Entry(entry), LinkEnd::Side(side))
            | (LinkEnd::Side(side), LinkEnd::Entry(entry)) => {
                self.break_side_link(entry, side);
            }
            (LinkEnd::Entry(a), LinkEnd::Entry(b)) => {
                for (at, other) in [(a, b), (b, a)] {
                    let peer = self.entries[other].settings.me.id.clone();
                    self.at_entry(self.now, at, EntryEvent::PeerLost { peer });
                }
            }
            (LinkEnd::Side(_), LinkEnd::Side(_)) => {}
        }
    }

    pub(super) fn is_partitioned(&self, a: &Hall, b: &Hall) -> bool {
        self.partitions.contains(&(a.clone(), b.clone()))
    }

    /// Sets the run time of tasks on a target, in percent of the usual time.
    pub fn set_target_slowdown(&mut self, side: SideIndex, percent: u64) {
        self.sides[side].slow_percent = percent;
    }

    /// Sets whether a target refuses connections.
    pub fn set_refusing(&mut self, side: SideIndex, is_refusing: bool) {
        self.sides[side].is_refusing = is_refusing;
    }

    /// Makes a target lose its next `count` answers.
    pub fn lose_target_answers(&mut self, side: SideIndex, count: u32) {
        self.sides[side].lose_answers = count;
    }

    /// Sets the offset of an entry's wall clock, in milliseconds; positive if the clock is ahead.
    pub fn set_clock_skew(&mut self, entry: EntryIndex, skew_ms: i64) {
        self.entries[entry].skew_ms = skew_ms;
    }
}
