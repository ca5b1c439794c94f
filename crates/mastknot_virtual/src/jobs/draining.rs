//! Halls that operators drain and return, as the store has them and entries read them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::job::{DrainedHalls, EntryOrder, RunId, SideReport, SideStatus};
use mastknot_core::scheduler::SchedulerEvent;
use mastknot_core::types::Hall;
use rand::RngExt;

use super::act::Act;
use super::job_system::{JobSystem, MILLI};
use super::processes::hall_of;

/// An entry hears of a change of the store within this, in microseconds.
const HEARD_WITHIN: u64 = 6 * MILLI;
/// An entry that is back in touch with the store has read it within this, in microseconds.
const READ_AGAIN_WITHIN: u64 = 1_100 * MILLI;

/// Above all revisions that the store reaches in a test.
const WORDS_ABOVE: u64 = 1_000_000;

/// What the processes do with the news of drained halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainVariant {
    /// What they should.
    Correct,
    /// Sides start whatever entries order.
    SidesDoNotEnforce,
    /// The word that came last counts, whatever its revision.
    LastMessageWins,
    /// Entries that start do not read which halls are drained.
    ForgottenOnRestart,
}

/// What the store has at first.
pub(super) fn nothing_drained() -> Arc<DrainedHalls> {
    Arc::new(DrainedHalls {
        revision: 1,
        halls: BTreeSet::new(),
    })
}

impl JobSystem {
    /// Lets the processes do something wrong: tests see that it is noticed.
    pub fn set_drain_variant(&mut self, variant: DrainVariant) {
        self.drain_variant = variant;
    }

    /// Operators drain a hall.
    pub fn drain(&mut self, at: Duration, hall: usize) {
        let hall = hall_of(hall);
        let at = at.as_micros() as u64;
        self.schedule.add(at, Act::Drain { hall });
    }

    /// Operators return a hall.
    pub fn return_drained_hall(&mut self, at: Duration, hall: usize) {
        let hall = hall_of(hall);
        let at = at.as_micros() as u64;
        self.schedule.add(at, Act::Return { hall });
    }

    /// The targets of a hall are slow from now until a time, and say so unless `is_hidden`.
    pub fn make_targets_cold(&mut self, hall: usize, until: Duration, is_hidden: bool) {
        let until = until.as_micros() as u64;
        let slots = self.targets.iter_mut().enumerate();
        let there = slots.filter(|(side, _)| hall_of(*side) == hall_of(hall));
        for target in there.filter_map(|(_, slot)| slot.target.as_mut()) {
            target.cold_until = until;
            target.hides_cold = is_hidden;
        }
    }

    /// From a time on an entry is out of touch with the store for a while.
    pub fn disconnect_from_store(&mut self, until: Duration, entry: usize) {
        self.store_away_until[entry] = until.as_micros() as u64;
    }

    /// Which halls each entry that runs takes for drained.
    pub fn drained_at_entries(&self) -> Vec<DrainedHalls> {
        let cores = self.entries.iter().filter_map(|node| node.core.as_ref());
        cores.map(|core| core.drained_halls().clone()).collect()
    }

    /// The sides whose core turns starts away because their hall is drained.
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
            self.plan_read_drained(entry, HEARD_WITHIN);
        }
    }

    /// An entry reads the store within a time, or once it is back in touch with it.
    pub(super) fn plan_read_drained(&mut self, entry: usize, within: u64) {
        let life = self.entries[entry].life;
        let delay = self.rng.random_range(1..=within);
        self.later(delay, Act::ReadDrained { entry, life });
    }

    pub(super) fn read_drained(&mut self, entry: usize, life: u64) {
        if self.entries[entry].life != life {
            return;
        }
        let away_until = self.store_away_until[entry];
        if away_until > self.now {
            let back = away_until - self.now + READ_AGAIN_WITHIN;
            self.plan_read_drained(entry, back);
            return;
        }
        let mut drained = Arc::clone(&self.drained);
        self.bend(&mut drained);
        self.step_entry(entry, SchedulerEvent::DrainedHalls(drained));
    }

    /// An entry that has just started reads which halls are drained before it takes a job.
    pub(super) fn read_drained_at_start(&mut self, entry: usize) {
        if self.drain_variant != DrainVariant::ForgottenOnRestart {
            let life = self.entries[entry].life;
            self.read_drained(entry, life);
        }
    }

    /// Whether an entry does not know yet which halls are drained, and goes by that.
    pub(super) fn lacks_drained_halls(&self, entry: usize) -> bool {
        let core = self.entries[entry].core.as_ref();
        let known = core.map_or(0, |core| core.drained_halls().revision);
        let is_right = self.drain_variant != DrainVariant::ForgottenOnRestart;
        is_right && known == 0
    }

    /// What a wrong way makes of a report of a side.
    pub(super) fn bend_report(&mut self, report: &mut SideReport) {
        match report {
            SideReport::Hello(hello) => self.bend(&mut hello.drained),
            SideReport::Status(SideStatus {
                drained: Some(drained),
                ..
            }) => self.bend(drained),
            _ => {}
        }
    }

    /// What a wrong way makes of an order of an entry.
    pub(super) fn bend_order(&mut self, order: &mut EntryOrder) {
        let news = match order {
            EntryOrder::Welcome(welcome) => &mut welcome.update,
            EntryOrder::Heartbeat {
                update: Some(news), ..
            } => news,
            _ => return,
        };
        match self.drain_variant {
            DrainVariant::SidesDoNotEnforce => news.drained = Arc::default(),
            _ => self.bend(&mut news.drained),
        }
    }

    /// Makes the word that comes last the newest one.
    fn bend(&mut self, drained: &mut Arc<DrainedHalls>) {
        if self.drain_variant == DrainVariant::LastMessageWins && drained.revision > 0 {
            self.words_heard += 1;
            Arc::make_mut(drained).revision = WORDS_ABOVE + self.words_heard;
        }
    }

    /// Notes a start in a hall that has been drained for some time.
    pub(super) fn check_drained(&mut self, side: usize, run: RunId) {
        if let Some(drained_at) = self.drained_at.get(&hall_of(side)) {
            let after = self.now - drained_at;
            self.audit.started_in_drained_hall(run, after);
        }
    }
}
