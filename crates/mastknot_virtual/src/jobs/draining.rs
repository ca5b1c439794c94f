//! Halls that operators drain and return: the state in the store, and how entries read it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::job::{DrainedHalls, EntryOrder, RunId, SideReport, SideStatus};
use mastknot_core::scheduler::SchedulerEvent;
use mastknot_core::types::Hall;
use rand::RngExt;

use super::action::Action;
use super::job_system::{JobSystem, MILLI};
use super::processes::hall_of;

/// Maximum time after which an entry has read a change of the store, in microseconds.
const MAX_READ_DELAY: u64 = 6 * MILLI;
/// Maximum time after which an entry that has regained the store has read it, in microseconds.
const MAX_REREAD_DELAY: u64 = 1_100 * MILLI;

/// Number that is greater than every revision that the store reaches in a test.
const RENUMBERED_FROM: u64 = 1_000_000;

/// Variant of how the processes handle updates of drained halls. All variants but the first are deliberately
/// wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainVariant {
    /// The processes behave correctly.
    Correct,
    /// Sides carry out all start orders of entries, even in a drained hall.
    SidesDoNotEnforce,
    /// The update that arrives last takes effect, regardless of its revision.
    LastMessageWins,
    /// Entries that start do not read the set of drained halls.
    ForgottenOnRestart,
}

/// Returns the set of drained halls that the store has at the start.
pub(super) fn nothing_drained() -> Arc<DrainedHalls> {
    Arc::new(DrainedHalls {
        revision: 1,
        halls: BTreeSet::new(),
    })
}

impl JobSystem {
    /// Selects a wrong variant, so that tests can verify that the audit detects it.
    pub fn set_drain_variant(&mut self, variant: DrainVariant) {
        self.drain_variant = variant;
    }

    /// Schedules that operators drain a hall.
    pub fn drain(&mut self, at: Duration, hall: usize) {
        let hall = hall_of(hall);
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::Drain { hall });
    }

    /// Schedules that operators return a drained hall to service.
    pub fn return_drained_hall(&mut self, at: Duration, hall: usize) {
        let hall = hall_of(hall);
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::Return { hall });
    }

    /// Makes the targets of a hall cold (slow) from now until `until`. They report this unless `is_hidden` is
    /// set.
    pub fn make_targets_cold(&mut self, hall: usize, until: Duration, is_hidden: bool) {
        let until = until.as_micros() as u64;
        let slots = self.targets.iter_mut().enumerate();
        let in_hall = slots.filter(|(side, _)| hall_of(*side) == hall_of(hall));
        for target in in_hall.filter_map(|(_, slot)| slot.target.as_mut()) {
            target.cold_until = until;
            target.hides_cold = is_hidden;
        }
    }

    /// Disconnects an entry from the store until the given time.
    pub fn disconnect_from_store(&mut self, until: Duration, entry: usize) {
        self.store_unreachable_until[entry] = until.as_micros() as u64;
    }

    /// Returns the drained halls that each running entry knows of.
    pub fn drained_at_entries(&self) -> Vec<DrainedHalls> {
        let cores = self.entries.iter().filter_map(|node| node.core.as_ref());
        cores.map(|core| core.drained_halls().clone()).collect()
    }

    /// Returns the sides whose core refuses starts because their hall is drained.
    pub fn draining_sides(&self) -> Vec<usize> {
        let sides = self.sides.iter().enumerate();
        let draining = sides.filter(|(_, node)| {
            let core = node.core.as_ref();
            core.is_some_and(|core| core.is_hall_drained())
        });
        draining.map(|(side, _)| side).collect()
    }

    pub(super) fn drain_hall(&mut self, hall: Hall) {
        let mut halls = self.drained.halls.clone();
        halls.insert(hall.clone());
        self.drained_at.entry(hall).or_insert(self.now);
        self.write_drained(halls);
    }

    pub(super) fn return_hall(&mut self, hall: Hall) {
        let mut halls = self.drained.halls.clone();
        halls.remove(&hall);
        self.drained_at.remove(&hall);
        self.write_drained(halls);
    }

    fn write_drained(&mut self, halls: BTreeSet<Hall>) {
        let revision = self.drained.revision + 1;
        self.drained = Arc::new(DrainedHalls { revision, halls });
        for entry in 0..self.settings.entries {
            self.plan_read_drained(entry, MAX_READ_DELAY);
        }
    }

    /// Schedules a read of the drained halls by an entry, after a random delay of at most `within`
    /// microseconds.
    pub(super) fn plan_read_drained(&mut self, entry: usize, within: u64) {
        let incarnation = self.entries[entry].incarnation;
        let delay = self.rng.random_range(1..=within);
        self.schedule_in(delay, Action::ReadDrained { entry, incarnation });
    }

    pub(super) fn read_drained(&mut self, entry: usize, incarnation: u64) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        let unreachable_until = self.store_unreachable_until[entry];
        if unreachable_until > self.now {
            let reread_delay = unreachable_until - self.now + MAX_REREAD_DELAY;
            self.plan_read_drained(entry, reread_delay);
            return;
        }
        let mut drained = Arc::clone(&self.drained);
        self.distort(&mut drained);
        self.step_entry(entry, SchedulerEvent::DrainedHalls(drained));
    }

    /// Makes an entry that has just started read the drained halls before it accepts a job.
    pub(super) fn read_drained_at_start(&mut self, entry: usize) {
        if self.drain_variant != DrainVariant::ForgottenOnRestart {
            let incarnation = self.entries[entry].incarnation;
            self.read_drained(entry, incarnation);
        }
    }

    /// Returns whether an entry has not read the drained halls yet although its variant requires that.
    pub(super) fn lacks_drained_halls(&self, entry: usize) -> bool {
        let core = self.entries[entry].core.as_ref();
        let known = core.map_or(0, |core| core.drained_halls().revision);
        let must_read = self.drain_variant != DrainVariant::ForgottenOnRestart;
        must_read && known == 0
    }

    /// Changes a side's report as the selected wrong variant does.
    pub(super) fn distort_report(&mut self, report: &mut SideReport) {
        match report {
            SideReport::Hello(hello) => self.distort(&mut hello.drained),
            SideReport::Status(SideStatus {
                drained: Some(drained),
                ..
            }) => self.distort(drained),
            _ => {}
        }
    }

    /// Changes an entry's order as the selected wrong variant does.
    pub(super) fn distort_order(&mut self, order: &mut EntryOrder) {
        let update = match order {
            EntryOrder::Welcome(welcome) => &mut welcome.update,
            EntryOrder::Heartbeat {
                update: Some(update),
                ..
            } => update,
            _ => return,
        };
        match self.drain_variant {
            DrainVariant::SidesDoNotEnforce => update.drained = Arc::default(),
            _ => self.distort(&mut update.drained),
        }
    }

    /// Gives the update that arrives last the highest revision if the variant is `LastMessageWins`.
    fn distort(&mut self, drained: &mut Arc<DrainedHalls>) {
        if self.drain_variant == DrainVariant::LastMessageWins && drained.revision > 0 {
            self.renumbered_updates += 1;
            Arc::make_mut(drained).revision = RENUMBERED_FROM + self.renumbered_updates;
        }
    }

    /// Records a start in a hall that is drained, with the time since the drain.
    pub(super) fn check_drained(&mut self, side: usize, run: RunId) {
        if let Some(drained_at) = self.drained_at.get(&hall_of(side)) {
            let after = self.now - drained_at;
            self.audit.started_in_drained_hall(run, after);
        }
    }
}
