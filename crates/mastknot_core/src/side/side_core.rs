use std::collections::HashMap;

use indexmap::IndexMap;

use super::credit_issuer::CreditIssuer;
use super::entry_view::EntryView;
use super::start_memory::StartMemory;
use super::{SideCounters, SideEffect, SideEvent, SideSettings};
use crate::config::{ConfigReplica, DRAINED_HALL_KIND};
use crate::message::{
    Credit, CreditSeq, Demand, EntryMessage, NotRunReason, SideHello, SideMessage, TaskOrder,
    TaskOutcome,
};
use crate::types::{Incarnation, Moment, NodeName, SubmissionKey, TaskId};

/// Running task that occupies a slot.
#[derive(Clone, Debug)]
struct Running {
    entry: NodeName,
    credit: CreditSeq,
    since: Moment,
}

/// The core of a side process.
///
/// Running tasks and unused credits together never exceed the number of slots. This is the only
/// admission control of a side: each credit stands for a free slot.
///
/// # Examples
///
/// ```
/// use mastknot_core::message::{Demand, EntryMessage, SideMessage};
/// use mastknot_core::side::{SideCore, SideEffect, SideEvent, SideSettings};
/// use mastknot_core::types::{Incarnation, Moment};
///
/// let mut side = SideCore::new(SideSettings::new("side-1", "windhoek-1").slots(2));
/// let entry = "entry-1".into();
/// side.step(Moment::default(), SideEvent::EntryJoined { entry });
/// let message = EntryMessage::Exchange {
///     incarnation: Incarnation(1),
///     returned: vec![],
///     demand: Demand { wanted: 5, urgency: 1 },
/// };
/// let effects = side.step(Moment::default(), SideEvent::FromEntry { entry: "entry-1".into(), message });
/// let SideEffect::Send { message: SideMessage::Grant { credits, .. }, .. } = &effects[0] else { panic!() };
/// assert_eq!(credits.len(), 2, "five were wanted, two slots are free");
/// ```
#[derive(Clone, Debug)]
pub struct SideCore {
    settings: SideSettings,
    credits: CreditIssuer,
    memory: StartMemory,
    entries: IndexMap<NodeName, EntryView>,
    running: HashMap<TaskId, Running>,
    config: ConfigReplica,
    counters: SideCounters,
    is_draining: bool,
}

impl SideCore {
    /// Creates a side with all slots free and no entry connected.
    pub fn new(settings: SideSettings) -> Self {
        debug_assert!(settings.slots > 0, "side {} has no slot", settings.side);
        Self {
            credits: CreditIssuer::new(settings.incarnation, settings.credit_lifetime),
            memory: StartMemory::default(),
            entries: IndexMap::new(),
            running: HashMap::new(),
            config: ConfigReplica::default(),
            counters: SideCounters::default(),
            is_draining: false,
            settings,
        }
    }

    /// Returns the hello message in which the side describes itself to an entry.
    pub fn hello(&self) -> SideHello {
        SideHello {
            side: self.settings.side.clone(),
            incarnation: self.settings.incarnation,
            hall: self.settings.hall.clone(),
            slots: self.settings.slots,
            accelerators: self.settings.accelerators,
            memory_mib: self.settings.memory_mib,
            services: self.settings.services.clone(),
            config_version: self.config.version(),
        }
    }

    /// Returns the counters of the side.
    pub fn counters(&self) -> SideCounters {
        self.counters
    }

    /// Returns the configuration in force on the side.
    pub fn config(&self) -> &ConfigReplica {
        &self.config
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns whether the side is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns whether operators have drained the hall of the side.
    pub fn is_hall_drained(&self) -> bool {
        let hall = self.settings.hall.as_str();
        self.config.get(DRAINED_HALL_KIND, hall).is_some()
    }

    /// Returns whether the side has finished its shutdown: it grants no credits, no task runs, and
    /// no credit is outstanding.
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.running.is_empty() && self.credits.len() == 0
    }

    /// Returns the time at which [`SideEvent::Tick`] is due.
    pub fn next_tick(&self) -> Option<Moment> {
        self.credits.next_expiry()
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, now: Moment, event: SideEvent) -> Vec<SideEffect> {
        let mut effects = Vec::new();
        self.expire_credits(now);
        match event {
            SideEvent::EntryJoined { entry } => self.entry_joined(entry, &mut effects),
            SideEvent::EntryLeft { entry } => {
                self.entries.swap_remove(&entry);
                self.credits.forget_entry(&entry);
            }
            SideEvent::FromEntry { entry, message } => {
                self.credits.record_message(now, &entry);
                self.entry_sent(now, entry, message, &mut effects);
            }
            SideEvent::TaskEnded { task, outcome } => {
                self.task_ended(now, task, outcome, &mut effects);
            }
            SideEvent::Drain => self.drain(&mut effects),
            SideEvent::Tick => {}
        }
        self.grant_wanted(now, &mut effects);
        effects
    }

    fn expire_credits(&mut self, now: Moment) {
        for entry in self.credits.expire(now) {
            self.counters.credits_expired += 1;
            self.release_held(&entry);
        }
        self.memory.trim(
            now,
            self.settings.memory_age,
            self.settings.memory_starts,
            self.settings.memory_bytes,
        );
    }

    fn release_held(&mut self, entry: &NodeName) {
        if let Some(view) = self.entries.get_mut(entry) {
            view.held = view.held.saturating_sub(1);
        }
    }

    fn entry_joined(&mut self, entry: NodeName, effects: &mut Vec<SideEffect>) {
        self.entries.insert(entry.clone(), EntryView::default());
        let message = SideMessage::Hello(self.hello());
        effects.push(SideEffect::Send {
            entry: entry.clone(),
            message,
        });
        if self.is_draining {
            let message = SideMessage::Leaving;
            effects.push(SideEffect::Send { entry, message });
        }
    }

    fn entry_sent(
        &mut self,
        now: Moment,
        entry: NodeName,
        message: EntryMessage,
        effects: &mut Vec<SideEffect>,
    ) {
        match message {
            EntryMessage::Welcome { .. } => {}
            EntryMessage::Start {
                incarnation,
                credit,
                order,
                demand,
            } => {
                self.record_demand(now, &entry, demand);
                self.start(now, entry, incarnation, credit, order, effects);
            }
            EntryMessage::Exchange {
                incarnation,
                returned,
                demand,
            } => {
                self.take_back(now, incarnation, &returned);
                self.record_demand(now, &entry, demand);
            }
            EntryMessage::Stop { key } => self.stop(key, effects),
            EntryMessage::Config(delta) => {
                let before = self.config.version();
                let was_drained = self.is_hall_drained();
                self.config.apply(&delta);
                if was_drained && !self.is_hall_drained() {
                    self.report_idle_slots(effects);
                }
                let version = self.config.version();
                let message = SideMessage::ConfigInForce { version };
                if version == before {
                    effects.push(SideEffect::Send { entry, message });
                    return;
                }
                // All entries are informed, so that none of them sends the same configuration
                // again.
                for entry in self.entries.keys() {
                    let (entry, message) = (entry.clone(), message.clone());
                    effects.push(SideEffect::Send { entry, message });
                }
            }
            EntryMessage::Recall { key } => {
                let tasks = self.memory.of_key(key);
                let message = SideMessage::Remembered { key, tasks };
                effects.push(SideEffect::Send { entry, message });
            }
            EntryMessage::Drain => self.drain(effects),
        }
    }

    fn record_demand(&mut self, now: Moment, entry: &NodeName, demand: Demand) {
        if let Some(view) = self.entries.get_mut(entry) {
            view.record_demand(now, demand);
        }
    }

    fn take_back(&mut self, now: Moment, incarnation: Incarnation, returned: &[CreditSeq]) {
        if incarnation != self.settings.incarnation {
            return;
        }
        for seq in returned {
            if let Some(granted_to) = self.credits.take(now, *seq) {
                self.counters.credits_returned += 1;
                self.release_held(&granted_to);
            }
        }
    }

    fn start(
        &mut self,
        now: Moment,
        entry: NodeName,
        incarnation: Incarnation,
        credit: CreditSeq,
        order: TaskOrder,
        effects: &mut Vec<SideEffect>,
    ) {
        let task = order.task;
        if incarnation != self.settings.incarnation {
            self.counters.refused_old_incarnation += 1;
            let reason = NotRunReason::OldIncarnation;
            return self.refuse(now, entry, task, credit, reason, effects);
        }
        // A repeated start must not be answered with "not run", because the first message may have
        // started the task.
        if self.memory.may_have_started(credit) || self.memory.has_task(task) {
            self.counters.duplicates_dropped += 1;
            return;
        }
        let Some(granted_to) = self.credits.take(now, credit) else {
            self.counters.refused_stale_credit += 1;
            let reason = NotRunReason::StaleCredit;
            return self.refuse(now, entry, task, credit, reason, effects);
        };
        self.release_held(&granted_to);
        if order.deadline_ms == 0 {
            self.counters.refused_deadline += 1;
            let reason = NotRunReason::DeadlinePassed;
            return self.refuse(now, entry, task, credit, reason, effects);
        }
        if self.is_hall_drained() {
            self.counters.refused_drained_hall += 1;
            let reason = NotRunReason::HallDrained;
            return self.refuse(now, entry, task, credit, reason, effects);
        }
        if !self.runs_service(&order.service) {
            self.counters.refused_unknown_service += 1;
            let reason = NotRunReason::UnknownService;
            return self.refuse(now, entry, task, credit, reason, effects);
        }
        self.counters.starts += 1;
        self.memory.record_start(now, credit, &order);
        let running = Running {
            entry,
            credit,
            since: now,
        };
        self.running.insert(task, running);
        effects.push(SideEffect::Run(order));
    }

    fn runs_service(&self, service: &NodeName) -> bool {
        let services = &self.settings.services;
        services.is_empty() || services.contains(service)
    }

    fn refuse(
        &mut self,
        now: Moment,
        entry: NodeName,
        task: TaskId,
        credit: CreditSeq,
        reason: NotRunReason,
        effects: &mut Vec<SideEffect>,
    ) {
        let next = self.next_credit(now, &entry);
        let message = SideMessage::NotRun {
            task,
            credit,
            reason,
            next,
        };
        effects.push(SideEffect::Send { entry, message });
    }

    fn task_ended(
        &mut self,
        now: Moment,
        task: TaskId,
        outcome: TaskOutcome,
        effects: &mut Vec<SideEffect>,
    ) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        if outcome == TaskOutcome::Stopped {
            self.counters.stopped += 1;
        }
        self.memory.record_end(running.credit, outcome.clone());
        if !self.entries.contains_key(&running.entry) {
            self.counters.answers_without_entry += 1;
            return;
        }
        let next = self.next_credit(now, &running.entry);
        let message = SideMessage::Answer {
            task,
            outcome,
            run_micros: now.since(running.since).as_micros() as u32,
            next,
            idle_slots: self.free_slots() as u16,
        };
        effects.push(SideEffect::Send {
            entry: running.entry,
            message,
        });
    }

    fn stop(&mut self, key: SubmissionKey, effects: &mut Vec<SideEffect>) {
        let mut stopped: Vec<TaskId> = self.running.keys().copied().collect();
        stopped.retain(|task| task.key == key);
        stopped.sort_unstable();
        effects.extend(stopped.into_iter().map(SideEffect::Abort));
    }

    fn drain(&mut self, effects: &mut Vec<SideEffect>) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        for entry in self.entries.keys() {
            effects.push(SideEffect::Send {
                entry: entry.clone(),
                message: SideMessage::Leaving,
            });
        }
    }

    /// Reports the number of free slots to all entries. Entries request no credits from a side that
    /// they know to have no free slot.
    fn report_idle_slots(&mut self, effects: &mut Vec<SideEffect>) {
        let idle_slots = self.free_slots() as u16;
        for entry in self.entries.keys() {
            let entry = entry.clone();
            let credits = Vec::new();
            let message = SideMessage::Grant {
                credits,
                idle_slots,
            };
            effects.push(SideEffect::Send { entry, message });
        }
    }

    fn free_slots(&self) -> usize {
        if self.is_draining || self.is_hall_drained() {
            return 0;
        }
        let taken = self.running.len() + self.credits.len();
        usize::from(self.settings.slots).saturating_sub(taken)
    }

    /// Returns the credit that is attached to an answer. The credit goes to the same entry:
    /// attaching it costs nothing, while a grant to another entry would be an additional message,
    /// and entries lend credits to each other in batches.
    fn next_credit(&mut self, now: Moment, entry: &NodeName) -> Option<Credit> {
        let can_ride = self.free_slots() > 0 && self.entries.contains_key(entry);
        can_ride.then(|| self.issue(now, entry))
    }

    /// Returns the connected entry that wants credits for the most urgent submission. Among equals
    /// it is the entry that holds the fewest credits of this side.
    fn neediest_entry(&self, now: Moment) -> Option<NodeName> {
        self.entries
            .iter()
            .filter(|(_, view)| view.wanted(now) > 0)
            .min_by_key(|(_, view)| (view.urgency(), view.held))
            .map(|(entry, _)| entry.clone())
    }

    fn issue(&mut self, now: Moment, entry: &NodeName) -> Credit {
        self.counters.credits_granted += 1;
        if let Some(view) = self.entries.get_mut(entry) {
            view.record_grant();
        }
        self.credits.issue(now, entry)
    }

    /// Grants free slots to the entries that have asked for credits, the most urgent first.
    fn grant_wanted(&mut self, now: Moment, effects: &mut Vec<SideEffect>) {
        let mut granted: IndexMap<NodeName, Vec<Credit>> = IndexMap::new();
        while self.free_slots() > 0 {
            let Some(entry) = self.neediest_entry(now) else {
                break;
            };
            let credit = self.issue(now, &entry);
            granted.entry(entry).or_default().push(credit);
        }
        for (entry, credits) in granted {
            let idle_slots = self.free_slots() as u16;
            let message = SideMessage::Grant {
                credits,
                idle_slots,
            };
            effects.push(SideEffect::Send { entry, message });
        }
    }
}
