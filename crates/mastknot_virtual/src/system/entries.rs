//! Delivers events to entries and carries out the effects that their cores return.

use std::time::Duration;

use mastknot_core::entry::{EntryEffect, EntryEvent, RequestId};
use mastknot_core::message::Reply;
use mastknot_core::roster::{RosterWrite, WriteDecision};
use mastknot_core::types::{Incarnation, Now};

use super::EntryIndex;
use super::virtual_system::*;
use crate::{MessageKind, Violation};

/// Interval at which an entry's configuration feed checks that its watch has missed nothing.
const FEED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl VirtualSystem {
    pub(super) fn at_entry(&mut self, at: u64, entry: EntryIndex, event: EntryEvent) {
        let incarnation = self.entries[entry].incarnation();
        let event = Box::new(event);
        let action = Action::ToEntry {
            entry,
            incarnation,
            event,
        };
        self.schedule.add(at, action);
    }

    pub(super) fn deliver_to_entry(
        &mut self,
        index: EntryIndex,
        incarnation: Incarnation,
        event: Box<EntryEvent>,
    ) {
        let entry = &self.entries[index];
        if entry.core.is_none() || entry.incarnation() != incarnation {
            return;
        }
        if entry.paused_until > self.now {
            let at = entry.paused_until;
            let action = Action::ToEntry {
                entry: index,
                incarnation,
                event,
            };
            return self.schedule.add(at, action);
        }
        let now = Now {
            monotonic: self.moment(),
            wall: self.wall(entry.skew_ms),
        };
        let Some(core) = self.entries[index].core.as_mut() else {
            return;
        };
        let effects = core.step(now, *event);
        let tick = core.next_tick(now.monotonic).as_micros();
        for effect in effects {
            self.entry_effect(index, effect);
        }
        self.plan_entry_tick(index, tick);
    }

    pub(super) fn plan_entry_tick(&mut self, index: EntryIndex, at: u64) {
        let at = at.max(self.now + 1);
        let entry = &mut self.entries[index];
        if entry.core.is_none() || entry.tick_at.is_some_and(|planned| planned <= at) {
            return;
        }
        entry.tick_at = Some(at);
        let incarnation = entry.incarnation();
        self.schedule.add(at, Action::TickEntry(index, incarnation));
    }

    pub(super) fn entry_effect(&mut self, index: EntryIndex, effect: EntryEffect) {
        match effect {
            EntryEffect::Reply { request, reply } => {
                let at = self.now + self.delays.to_callers.as_micros() as u64;
                let reply = Box::new(reply);
                self.schedule.add(at, Action::Reply { request, reply });
            }
            EntryEffect::ToSide { side, message } => {
                let to = self.sides.iter().position(|s| s.settings.side == side);
                if let Some(to) = to {
                    self.send_to_side(index, to, message);
                }
            }
            EntryEffect::ToPeer { peer, message } => {
                let to = self.entries.iter().position(|entry| *entry.name() == peer);
                if let Some(to) = to {
                    self.send_to_peer(index, to, message);
                }
            }
            EntryEffect::ReadRoster => self.read_roster(index),
            EntryEffect::WriteRoster(write) => self.write_roster(index, write),
            EntryEffect::RosterAdopted(_) => {}
            EntryEffect::ConfigAdvanced { version } => {
                let name = self.entries[index].name().clone();
                self.audit.record_config(&name, version);
            }
            EntryEffect::Stopped => {
                self.entries[index].stopped = true;
                // The process ends once its last messages have been sent.
                self.kill_entry(index);
            }
        }
    }

    pub(super) fn store_answer_at(&self) -> u64 {
        let time = self.delays.store + self.store.faults.extra_delay;
        self.now + time.as_micros() as u64
    }

    pub(super) fn read_roster(&mut self, index: EntryIndex) {
        self.fire_triggers(MessageKind::Store, Some(index), None);
        self.store.calls += 1;
        let at = self.store_answer_at();
        let event = if self.store.faults.is_down {
            EntryEvent::RosterReadFailed
        } else {
            EntryEvent::RosterRead {
                sent_at: self.moment(),
                found: self.store.roster(),
            }
        };
        self.at_entry(at, index, event);
    }

    pub(super) fn write_roster(&mut self, index: EntryIndex, write: RosterWrite) {
        self.store.calls += 1;
        if self.store.faults.is_down {
            return;
        }
        let written = self.store.write_roster(write);
        if matches!(written, WriteDecision::Written(_)) && self.store.loses_answer() {
            return;
        }
        let at = self.store_answer_at();
        self.at_entry(at, index, EntryEvent::RosterWritten { written });
    }

    /// Runs the configuration feed of an entry: a watch that may be silent, and a periodic check that finds
    /// what the watch has missed.
    pub(super) fn feed(&mut self, index: EntryIndex, incarnation: Incarnation) {
        if self.entries[index].core.is_none() || self.entries[index].incarnation() != incarnation {
            return;
        }
        let faults = self.store.faults;
        if !faults.is_down {
            self.store.calls += 1;
            let delta = self.store.list(faults.stale_writes);
            if delta.version != self.entries[index].delivered_version {
                self.entries[index].delivered_version = delta.version;
                let at = self.store_answer_at();
                self.at_entry(at, index, EntryEvent::Config(delta));
            }
        }
        // Without a working watch, the feed finds updates by the check alone.
        let has_watch = !faults.is_down && !faults.is_watch_silent;
        let pause = if has_watch {
            FEED_CHECK_INTERVAL / 20
        } else {
            FEED_CHECK_INTERVAL
        };
        let at = self.now + pause.as_micros() as u64;
        self.schedule.add(at, Action::Feed(index, incarnation));
    }

    pub(super) fn reply_arrives(&mut self, request: RequestId, reply: Reply) {
        let now = self.now;
        let Some(submitted) = self.requests.get_mut(&request) else {
            return;
        };
        if submitted.reply.is_some() {
            self.audit.report(Violation::AnsweredTwice(request));
            return;
        }
        submitted.reply = Some((now, reply.clone()));
        let submission = submitted.submission.clone();
        self.audit.record_reply(&submission, &reply);
    }
}
