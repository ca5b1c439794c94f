//! Starts entries and sides, steps their cores and carries out the effects.

use std::net::SocketAddr;
use std::time::Instant;

use mastknot_core::agent::{
    AgentDecision, AgentEffect, AgentEvent, AgentSettings, DialOrder, TargetAgent,
};
use mastknot_core::job::{Capacity, ClaimAnswer, EntryOrder, KnownEntry, SideReport};
use mastknot_core::relay::LinkRate;
use mastknot_core::scheduler::{JobScheduler, SchedulerEffect, SchedulerEvent, SchedulerSettings};
use mastknot_core::types::{Hall, Incarnation, Moment, NodeName};
use rand::RngExt;

use super::action::Action;
use super::job_system::{HALLS, JobSystem, LINK_DELAY, MILLI};
use super::target_slot::OpenProbe;
use super::virtual_target::{VirtualProbe, VirtualStart};

impl JobSystem {
    pub(super) fn start_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        node.incarnation += 1;
        node.started_at = self.now;
        let incarnation = Incarnation(node.incarnation);
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
        node.paused_until = 0;
        node.suspended_for = 0;
        let known = self.known_entries();
        self.step_entry(entry, SchedulerEvent::Entries(known));
        self.read_store(entry);
        self.read_drained_at_start(entry);
        self.start_profile(entry);
        let incarnation = self.entries[entry].incarnation;
        self.read_share_weights(entry, incarnation);
    }

    /// Restarts all entries with the current settings; for a system that has not run yet.
    pub fn restart_entries(&mut self) {
        (0..self.settings.entries).for_each(|entry| self.start_entry(entry));
    }

    /// Returns all entries of the system, including those that are down.
    fn known_entries(&self) -> Vec<KnownEntry> {
        let known = (0..self.settings.entries).map(|entry| KnownEntry {
            name: entry_name(entry),
            address: SocketAddr::from(([127, 0, 0, 1], entry as u16 + 1)),
        });
        known.collect()
    }

    pub(super) fn start_side(&mut self, side: usize) {
        let node = &mut self.sides[side];
        node.incarnation += 1;
        let name = format!("side-{side}");
        let incarnation = Incarnation(node.incarnation);
        let settings = AgentSettings {
            max_hold: self.max_hold,
            ..AgentSettings::new(name.as_str().into(), incarnation, hall_of(side))
        };
        node.core = Some(TargetAgent::new(settings));
        node.open.clear();
        node.tick_at = None;
        node.paused_until = 0;
        node.suspended_for = 0;
        let order = DialOrder::new(&name.as_str().into(), &self.known_entries());
        for entry in order.at_once {
            self.first_dial(entry_index(&entry), side, LINK_DELAY);
        }
        for entry in order.later {
            let pause = DialOrder::pause(self.rng.random_range(0.0..1.0));
            let pause = pause.as_micros() as u64;
            self.first_dial(entry_index(&entry), side, LINK_DELAY + pause);
        }
        self.step_side(side, AgentEvent::Tick);
        self.request_target_profile(side);
    }

    fn first_dial(&mut self, entry: usize, side: usize, pause: u64) {
        self.backoffs.remove(&(entry, side));
        self.schedule_in(pause, Action::Dial { entry, side });
    }

    pub(super) fn step_entry(&mut self, entry: usize, event: SchedulerEvent) {
        let suspended_for = self.entries[entry].suspended_for;
        let now = self.moment(suspended_for);
        let Some(core) = &mut self.entries[entry].core else {
            return;
        };
        let started = Instant::now();
        let effects = core.step(now, event);
        let next = core.next_tick();
        self.entry_steps.record(started.elapsed());
        for effect in effects {
            self.entry_effect(entry, effect);
        }
        let incarnation = self.entries[entry].incarnation;
        if let Some(at) = self.next_wake_at(next, suspended_for, self.entries[entry].tick_at) {
            self.entries[entry].tick_at = Some(at);
            self.schedule
                .add(at, Action::TickEntry { entry, incarnation });
        }
    }

    pub(super) fn step_side(&mut self, side: usize, event: AgentEvent) {
        let suspended_for = self.sides[side].suspended_for;
        let now = self.moment(suspended_for);
        let Some(core) = &mut self.sides[side].core else {
            return;
        };
        let started = Instant::now();
        let effects = core.step(now, event);
        let next = core.next_tick();
        self.side_steps.record(started.elapsed());
        for effect in effects {
            self.side_effect(side, effect);
        }
        let incarnation = self.sides[side].incarnation;
        if let Some(at) = self.next_wake_at(next, suspended_for, self.sides[side].tick_at) {
            self.sides[side].tick_at = Some(at);
            self.schedule
                .add(at, Action::TickSide { side, incarnation });
        }
    }

    /// Returns the time of the next tick of a core, or `None` if the core needs none or an earlier one is
    /// planned.
    pub(super) fn next_wake_at(
        &self,
        next: Option<Moment>,
        suspended_for: u64,
        planned: Option<u64>,
    ) -> Option<u64> {
        let at = next?.as_micros() + self.clock_lag(suspended_for);
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
                if let EntryOrder::Start(start) = &order {
                    let running_for = self.now - self.entries[entry].started_at;
                    self.audit.start_ordered(start.run, running_for);
                }
                if let EntryOrder::Cancel(cancel) = &order {
                    self.cancel_messages += 1;
                    if self.ignores_cancels {
                        self.answer_ignored_cancel(entry, session, cancel.job);
                        return;
                    }
                }
                let incarnation = self.sides[side].incarnation;
                let sent = Action::ToSide {
                    side,
                    incarnation,
                    session,
                    order: Box::new(order.clone()),
                };
                self.transmit(session, true, &order, sent);
            }
            SchedulerEffect::Close { session } => self.close_at_entry(entry, session),
            SchedulerEffect::Answer { caller, answer } => self.caller_answered(caller, answer),
            SchedulerEffect::AnswerCancel { caller, outcome } => {
                self.cancel_answered(caller, outcome);
            }
            SchedulerEffect::Document(document) => self.take_document(entry, document),
            SchedulerEffect::Decided(_) => {}
        }
    }

    pub(super) fn side_effect(&mut self, side: usize, effect: AgentEffect) {
        let incarnation = self.sides[side].incarnation;
        match effect {
            AgentEffect::Send { session, report } => {
                if !self.sides[side].open.contains(&session) {
                    return;
                }
                let Some((entry, _)) = self.sessions.get(&session).copied() else {
                    return;
                };
                self.cancel_messages += u64::from(is_about_cancel(&report));
                let incarnation = self.entries[entry].incarnation;
                let sent = Action::ToEntry {
                    entry,
                    incarnation,
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
                timeout,
                ..
            } => {
                let capacity = Capacity {
                    cpu_millis: 1_600,
                    memory_mb: 64,
                    accelerators: 0,
                };
                let work = self.jobs.get(&run.task.job).map_or(MILLI, |job| job.work);
                let percent = self.speed_of(side).map_or(100, |(percent, _)| percent);
                let work = work * 100 / percent;
                let task_behaviour = self.task_behaviours.get(&run.task).copied();
                let start = VirtualStart {
                    run,
                    capacity,
                    work,
                    task_behaviour,
                    hold_until_ms,
                    token,
                    target,
                };
                self.order_start(side, incarnation, start, timeout.as_micros() as u64);
            }
            AgentEffect::StopRun {
                run,
                token,
                timeout,
            } => {
                self.order_stop(side, incarnation, run, token, timeout.as_micros() as u64);
            }
            AgentEffect::Probe {
                number,
                hold_until_ms,
                token,
                last_seen,
                wait,
                target,
                timeout,
            } => {
                let probe = VirtualProbe {
                    hold_until_ms,
                    token,
                    last_seen,
                    target,
                };
                let timeout = timeout.as_micros() as u64;
                let open = OpenProbe {
                    number,
                    incarnation,
                    probe,
                    timeout,
                };
                self.order_probe(side, open, wait.as_micros() as u64);
            }
            AgentEffect::StoreProfile(profile) => self.store_target_profile(side, profile),
            AgentEffect::Decided(AgentDecision::Unclaimed { .. }) => self.runs_unclaimed += 1,
            AgentEffect::DialEntries(_) | AgentEffect::Decided(_) | AgentEffect::Drained => {}
        }
    }
}

fn is_about_cancel(report: &SideReport) -> bool {
    let is_notification = matches!(
        report,
        SideReport::Claim {
            answer: ClaimAnswer::Cancelled { .. },
            ..
        }
    );
    is_notification || matches!(report, SideReport::Cancel { .. })
}

/// Returns the index of an entry of [`JobSystem::known_entries`].
fn entry_index(entry: &KnownEntry) -> usize {
    usize::from(entry.address.port()) - 1
}

/// Returns the hall of the entry, or of the side and its target, with the given index.
pub(super) fn hall_of(index: usize) -> Hall {
    format!("hall-{}", index % HALLS).as_str().into()
}

fn entry_name(entry: usize) -> NodeName {
    format!("entry-{entry}").as_str().into()
}
