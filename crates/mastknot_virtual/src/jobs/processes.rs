//! Entries and sides: starts, steps, effects.

use std::net::SocketAddr;
use std::time::Instant;

use mastknot_core::agent::{
    AgentDecision, AgentEffect, AgentEvent, AgentSettings, DialOrder, TargetAgent,
};
use mastknot_core::job::{Capacity, KnownEntry};
use mastknot_core::relay::LinkRate;
use mastknot_core::scheduler::{JobScheduler, SchedulerEffect, SchedulerEvent, SchedulerSettings};
use mastknot_core::types::{Hall, Incarnation, Moment, NodeName};
use rand::RngExt;

use super::act::Act;
use super::job_system::{HALLS, JobSystem, LINK_DELAY, MILLI};
use super::target_slot::OpenLook;
use super::virtual_target::{VirtualLook, VirtualStart};

impl JobSystem {
    pub(super) fn start_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        node.life += 1;
        let incarnation = Incarnation(node.life);
        let mut settings = SchedulerSettings {
            hall: hall_of(entry),
            scarcity: self.scarcity,
            ..SchedulerSettings::new(entry_name(entry), incarnation)
        };
        if let Some(rate) = self.settings.entry_link {
            settings.link = LinkRate::from_bytes_per_s(rate);
        }
        if let Some(links) = self.settings.active_links {
            settings.min_links = links;
            settings.max_links = links;
        }
        node.core = Some(JobScheduler::new(settings));
        node.open.clear();
        node.tick_at = None;
        node.frozen_until = 0;
        node.asleep = 0;
        let known = self.known_entries();
        self.step_entry(entry, SchedulerEvent::Entries(known));
        self.read_store(entry);
        self.read_drained_at_start(entry);
        self.start_profile(entry);
        let life = self.entries[entry].life;
        self.read_share_weights(entry, life);
    }

    /// Starts all entries anew, with the settings that hold now; for a system that has not run yet.
    pub fn restart_entries(&mut self) {
        (0..self.settings.entries).for_each(|entry| self.start_entry(entry));
    }

    /// All entries of the system, whether they run or not.
    fn known_entries(&self) -> Vec<KnownEntry> {
        let known = (0..self.settings.entries).map(|entry| KnownEntry {
            name: entry_name(entry),
            address: SocketAddr::from(([127, 0, 0, 1], entry as u16 + 1)),
        });
        known.collect()
    }

    pub(super) fn start_side(&mut self, side: usize) {
        let node = &mut self.sides[side];
        node.life += 1;
        let name = format!("side-{side}");
        let incarnation = Incarnation(node.life);
        let settings = AgentSettings {
            max_hold: self.longest_hold,
            ..AgentSettings::new(name.as_str().into(), incarnation, hall_of(side))
        };
        node.core = Some(TargetAgent::new(settings));
        node.open.clear();
        node.tick_at = None;
        node.frozen_until = 0;
        node.asleep = 0;
        let order = DialOrder::new(&name.as_str().into(), &self.known_entries());
        for entry in order.at_once {
            self.first_dial(entry_place(&entry), side, LINK_DELAY);
        }
        for entry in order.later {
            let pause = DialOrder::pause(self.rng.random_range(0.0..1.0));
            let pause = pause.as_micros() as u64;
            self.first_dial(entry_place(&entry), side, LINK_DELAY + pause);
        }
        self.step_side(side, AgentEvent::Tick);
        self.ask_for_target(side);
    }

    fn first_dial(&mut self, entry: usize, side: usize, pause: u64) {
        self.backoffs.remove(&(entry, side));
        self.later(pause, Act::Dial { entry, side });
    }

    pub(super) fn step_entry(&mut self, entry: usize, event: SchedulerEvent) {
        let asleep = self.entries[entry].asleep;
        let now = self.moment(asleep);
        let Some(core) = &mut self.entries[entry].core else {
            return;
        };
        let begun = Instant::now();
        let effects = core.step(now, event);
        let next = core.next_tick();
        self.entry_steps.note(begun.elapsed());
        for effect in effects {
            self.entry_effect(entry, effect);
        }
        let life = self.entries[entry].life;
        if let Some(at) = self.wake(next, asleep, self.entries[entry].tick_at) {
            self.entries[entry].tick_at = Some(at);
            self.schedule.add(at, Act::TickEntry { entry, life });
        }
    }

    pub(super) fn step_side(&mut self, side: usize, event: AgentEvent) {
        let asleep = self.sides[side].asleep;
        let now = self.moment(asleep);
        let Some(core) = &mut self.sides[side].core else {
            return;
        };
        let begun = Instant::now();
        let effects = core.step(now, event);
        let next = core.next_tick();
        self.side_steps.note(begun.elapsed());
        for effect in effects {
            self.side_effect(side, effect);
        }
        let life = self.sides[side].life;
        if let Some(at) = self.wake(next, asleep, self.sides[side].tick_at) {
            self.sides[side].tick_at = Some(at);
            self.schedule.add(at, Act::TickSide { side, life });
        }
    }

    /// When to wake a core, unless it is woken before.
    pub(super) fn wake(
        &self,
        next: Option<Moment>,
        asleep: u64,
        planned: Option<u64>,
    ) -> Option<u64> {
        let at = next?.as_micros() + self.clock_lag(asleep);
        let at = at.max(self.now + 100);
        planned.is_none_or(|planned| at < planned).then_some(at)
    }

    pub(super) fn entry_effect(&mut self, entry: usize, effect: SchedulerEffect) {
        match effect {
            SchedulerEffect::Send { session, order } => {
                if !self.entries[entry].open.contains(&session) {
                    return;
                }
                let Some((_, side)) = self.sessions.get(&session).copied() else {
                    return;
                };
                let life = self.sides[side].life;
                let sent = Act::ToSide {
                    side,
                    life,
                    session,
                    order: Box::new(order.clone()),
                };
                self.transmit(session, true, &order, sent);
            }
            SchedulerEffect::Close { session } => self.close_at_entry(entry, session),
            SchedulerEffect::Answer { caller, answer } => self.caller_answered(caller, answer),
            SchedulerEffect::Document(document) => self.take_document(entry, document),
            SchedulerEffect::Decided(_) => {}
        }
    }

    pub(super) fn side_effect(&mut self, side: usize, effect: AgentEffect) {
        let life = self.sides[side].life;
        match effect {
            AgentEffect::Send { session, report } => {
                if !self.sides[side].open.contains(&session) {
                    return;
                }
                let Some((entry, _)) = self.sessions.get(&session).copied() else {
                    return;
                };
                let life = self.entries[entry].life;
                let sent = Act::ToEntry {
                    entry,
                    life,
                    session,
                    report: Box::new(report.clone()),
                };
                self.transmit(session, false, &report, sent);
            }
            AgentEffect::Close { session } => self.close_at_side(side, session),
            AgentEffect::Order {
                run,
                hold_until_ms,
                token,
                target,
                timeout: limit,
                ..
            } => {
                let room = Capacity {
                    cpu_millis: 1_600,
                    memory_mb: 64,
                    accelerators: 0,
                };
                let work = self.jobs.get(&run.task.job).map_or(MILLI, |job| job.work);
                let percent = self.speed_of(side).map_or(100, |(percent, _)| percent);
                let work = work * 100 / percent;
                let task_mood = self.task_moods.get(&run.task).copied();
                let start = VirtualStart {
                    run,
                    room,
                    work,
                    task_mood,
                    hold_until_ms,
                    token,
                    target,
                };
                self.order_start(side, life, start, limit.as_micros() as u64);
            }
            AgentEffect::StopRun {
                run,
                token,
                timeout: limit,
            } => {
                self.order_stop(side, life, run, token, limit.as_micros() as u64);
            }
            AgentEffect::Probe {
                number,
                hold_until_ms,
                token,
                last_seen,
                wait,
                target,
                timeout: limit,
            } => {
                let look = VirtualLook {
                    hold_until_ms,
                    token,
                    last_seen,
                    target,
                };
                let limit = limit.as_micros() as u64;
                let open = OpenLook {
                    number,
                    life,
                    look,
                    limit,
                };
                self.order_look(side, open, wait.as_micros() as u64);
            }
            AgentEffect::StoreProfile(profile) => self.remember_target(side, profile),
            AgentEffect::Decided(AgentDecision::Unclaimed { .. }) => self.runs_unclaimed += 1,
            AgentEffect::DialEntries(_) | AgentEffect::Decided(_) | AgentEffect::Drained => {}
        }
    }
}

/// The place of an entry of [`JobSystem::known_entries`].
fn entry_place(entry: &KnownEntry) -> usize {
    usize::from(entry.address.port()) - 1
}

/// The hall that a side and its target stand in, or an entry.
pub(super) fn hall_of(place: usize) -> Hall {
    format!("hall-{}", place % HALLS).as_str().into()
}

fn entry_name(entry: usize) -> NodeName {
    format!("entry-{entry}").as_str().into()
}
