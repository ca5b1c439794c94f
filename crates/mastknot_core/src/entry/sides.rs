//! Messages from sides, and delivery of the configuration to sides.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::entry_core::SideLink;
use super::{EntryCore, EntryEffect};
use crate::message::{EntryMessage, SideHello, SideMessage};
use crate::types::{Incarnation, Moment, NodeName, Now};

/// Time after which any entry sends the configuration to a lagging side, not only the entry
/// responsible for it. It is also the minimum time between two deliveries to a side.
const CONFIG_RESEND_DELAY: Duration = Duration::from_secs(1);

impl EntryCore {
    pub(super) fn on_side_message(
        &mut self,
        now: Now,
        side: NodeName,
        incarnation: Incarnation,
        message: SideMessage,
        out: &mut Vec<EntryEffect>,
    ) {
        let at = now.monotonic;
        if let SideMessage::Hello(hello) = message {
            return self.side_joined(now, hello, out);
        }
        let is_current = self
            .sides
            .get(&side)
            .is_some_and(|link| link.incarnation == incarnation);
        if !is_current {
            return;
        }
        match message {
            SideMessage::Hello(_) | SideMessage::Heartbeat => {}
            SideMessage::Grant {
                credits,
                idle_slots,
            } => {
                self.with_dispatcher(now, out, |d, e| {
                    d.granted(at, &side, &credits, idle_slots, e)
                });
            }
            SideMessage::Answer {
                task,
                outcome,
                run_micros,
                next,
                idle_slots,
            } => {
                self.dispatcher.record_idle_slots(at, &side, idle_slots);
                let run = Duration::from_micros(u64::from(run_micros));
                self.with_dispatcher(now, out, |d, e| {
                    d.answered(at, &side, incarnation, task, outcome, run, next, e);
                });
            }
            SideMessage::NotRun {
                task,
                credit,
                reason,
                next,
            } => {
                self.with_dispatcher(now, out, |d, e| {
                    d.not_run(at, &side, incarnation, task, credit, reason, next, e);
                });
            }
            SideMessage::ConfigInForce { version } => {
                if let Some(link) = self.sides.get_mut(&side) {
                    link.config_version = link.config_version.max(version);
                }
            }
            SideMessage::Leaving => self.dispatcher.side_leaving(at, &side),
            SideMessage::Remembered { key, tasks } => {
                self.on_remembered(now, &side, key, tasks, out);
            }
        }
    }

    fn side_joined(&mut self, now: Now, hello: SideHello, out: &mut Vec<EntryEffect>) {
        let is_old = self
            .sides
            .get(&hello.side)
            .is_some_and(|link| link.incarnation > hello.incarnation);
        if is_old {
            return;
        }
        let link = SideLink {
            incarnation: hello.incarnation,
            config_version: hello.config_version,
            config_sent_at: None,
        };
        let side = hello.side.clone();
        self.sides.insert(side.clone(), link);
        // The configuration is sent first, so that no task reaches a side that does not know its
        // service yet.
        self.send_config(now, &side, out);
        self.with_dispatcher(now, out, |d, e| d.side_joined(now.monotonic, hello, e));
    }

    pub(super) fn side_lost(
        &mut self,
        now: Now,
        side: &NodeName,
        incarnation: Incarnation,
        out: &mut Vec<EntryEffect>,
    ) {
        let is_current = self
            .sides
            .get(side)
            .is_some_and(|link| link.incarnation == incarnation);
        if !is_current {
            return;
        }
        self.sides.remove(side);
        self.with_dispatcher(now, out, |d, e| d.side_left(now.monotonic, side, e));
        self.side_lost_in_rebuilds(now, side, out);
    }

    // ---- configuration ----

    /// Sends lagging sides the configuration that they lack. Sides for which this entry is
    /// responsible get it at once; the others only if they still lag after [`CONFIG_RESEND_DELAY`].
    pub(super) fn send_config_to_sides(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        let version = self.config.version();
        let lagging: Vec<NodeName> = self
            .sides
            .iter()
            .filter(|(_, link)| link.config_version < version)
            .filter(|(name, link)| self.is_due(now.monotonic, name, link))
            .map(|(name, _)| name.clone())
            .collect();
        for side in lagging {
            self.send_config(now, &side, out);
        }
    }

    fn is_due(&self, now: Moment, side: &NodeName, link: &SideLink) -> bool {
        let since_sent = link
            .config_sent_at
            .map_or(Duration::MAX, |at| now.since(at));
        if since_sent < CONFIG_RESEND_DELAY {
            return false;
        }
        let is_overdue = now.since(self.config_changed_at) >= CONFIG_RESEND_DELAY;
        is_overdue || self.is_responsible_for(side)
    }

    /// Returns whether this entry is the member of the roster that supplies the side with
    /// configuration.
    fn is_responsible_for(&self, side: &NodeName) -> bool {
        let Some(roster) = self.membership.roster() else {
            return true;
        };
        let weight = |name: &NodeName| {
            let text = format!("{name}\n{side}");
            xxh3_64(text.as_bytes())
        };
        let first = roster
            .member_ids()
            .max_by_key(|member| weight(&member.name));
        first.is_none_or(|first| *first == self.settings.me.id)
    }

    fn send_config(&mut self, now: Now, side: &NodeName, out: &mut Vec<EntryEffect>) {
        let version = self.config.version();
        let Some(link) = self.sides.get_mut(side) else {
            return;
        };
        if link.config_version >= version {
            return;
        }
        link.config_sent_at = Some(now.monotonic);
        self.counters.config_sent += 1;
        let delta = self.config.delta_since(link.config_version);
        out.push(EntryEffect::ToSide {
            side: side.clone(),
            message: EntryMessage::Config(delta),
        });
    }
}
