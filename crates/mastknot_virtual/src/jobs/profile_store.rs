//! Learned profile of entries in the store: the real decisions on which entry writes it and when, with a
//! small fake store.

use std::sync::Arc;
use std::time::Duration;

use mastknot_core::profile::{ProfileCall, ProfileLedger, ProfileRead, ProfileWrite};
use mastknot_core::scheduler::SchedulerEvent;
use mastknot_core::types::WallTime;

use super::action::Action;
use super::job_system::{JobSystem, MILLI};

/// Duration of a call to the store, in microseconds.
const CALL_TIME: u64 = 5 * MILLI;
/// Interval between two checks of an entry for updates, in microseconds.
const CHECK_INTERVAL: u64 = 1_000 * MILLI;
/// Time of the wall clock at the start of the simulation, in milliseconds.
const FIRST_WALL: u64 = 1_700_000_000_000;

/// Learned profile in the store, with counts of its reads and writes.
#[derive(Clone, Debug, Default)]
pub struct ProfileStore {
    /// Document in the store; `None` if no entry has written it.
    pub value: Option<Vec<u8>>,
    /// Revision of the document.
    pub revision: u64,
    /// Number of reads by entries.
    pub reads: usize,
    /// Time and entry of each write.
    pub writes: Vec<(Duration, usize)>,
    /// Number of writes that were refused because the store held another revision.
    pub refused_writes: usize,
    /// Number of documents that an entry could not use.
    pub unusable_documents: usize,
    /// Time until which answers to writes are lost, in microseconds.
    answers_lost_until: u64,
    /// Time until which all calls for the document are rejected, in microseconds.
    unreachable_until: u64,
}

/// Answer that an entry receives to its call.
#[derive(Clone, Debug)]
pub(super) enum ProfileAnswer {
    Read(Option<(u64, Vec<u8>)>),
    NotRead,
    Written(ProfileWrite),
}

impl ProfileStore {
    fn read(&mut self) -> ProfileAnswer {
        self.reads += 1;
        let value = self.value.clone();
        ProfileAnswer::Read(value.map(|value| (self.revision, value)))
    }

    fn write(&mut self, now: u64, entry: usize, value: Vec<u8>, expected: u64) -> ProfileWrite {
        if expected != self.revision {
            self.refused_writes += 1;
            return ProfileWrite::Changed;
        }
        self.put(value);
        self.writes.push((Duration::from_micros(now), entry));
        match now < self.answers_lost_until {
            true => ProfileWrite::Unanswered,
            false => ProfileWrite::Done {
                revision: self.revision,
            },
        }
    }

    fn put(&mut self, value: Vec<u8>) {
        self.value = Some(value);
        self.revision += 1;
    }
}

impl JobSystem {
    /// Returns the learned profile in the store.
    pub fn profile_store(&self) -> &ProfileStore {
        &self.profile_store
    }

    /// Replaces the document with the given bytes.
    pub fn put_profile(&mut self, value: Vec<u8>) {
        self.profile_store.put(value);
    }

    /// Makes the store lose the answers to writes of the document until a time.
    pub fn lose_profile_answers(&mut self, until: Duration) {
        self.profile_store.answers_lost_until = until.as_micros() as u64;
    }

    /// Makes the store reject calls for the document until a time.
    pub fn reject_profile_calls(&mut self, until: Duration) {
        self.profile_store.unreachable_until = until.as_micros() as u64;
    }

    /// Makes an entry that starts read the document, and write it when it is its turn.
    pub(super) fn start_profile(&mut self, entry: usize) {
        self.ledgers[entry] = ProfileLedger::default();
        let incarnation = self.entries[entry].incarnation;
        self.check_profile(entry, incarnation);
    }

    /// Makes an entry check whether it has to read or write the document.
    pub(super) fn check_profile(&mut self, entry: usize, incarnation: u64) {
        if self.entries[entry].incarnation != incarnation || !self.scarcity.profile {
            return;
        }
        self.schedule_in(CHECK_INTERVAL, Action::CheckProfile { entry, incarnation });
        let wall = self.wall();
        let node = &self.entries[entry];
        let Some(core) = &node.core else {
            return;
        };
        let now = self.moment(node.suspended_for);
        let ledger = &mut self.ledgers[entry];
        let known = ledger.known().cloned();
        let offer = match ledger.must_read() {
            true => None,
            false => core.profile_offer(known.as_deref(), wall),
        };
        let Ok(Some(call)) = ledger.next(now, offer) else {
            return;
        };
        let answer = Box::new(self.carry_out(entry, call));
        let answered = Action::ProfileAnswered {
            entry,
            incarnation,
            answer,
        };
        self.schedule_in(CALL_TIME, answered);
    }

    fn carry_out(&mut self, entry: usize, call: ProfileCall) -> ProfileAnswer {
        let unreachable_until =
            self.store_unreachable_until[entry].max(self.profile_store.unreachable_until);
        let is_unreachable = !self.is_store_reachable || unreachable_until > self.now;
        let store = &mut self.profile_store;
        match call {
            ProfileCall::Read if is_unreachable => ProfileAnswer::NotRead,
            ProfileCall::Read => store.read(),
            ProfileCall::Write { .. } if is_unreachable => {
                ProfileAnswer::Written(ProfileWrite::TurnedAway)
            }
            ProfileCall::Write { value, expected } => {
                ProfileAnswer::Written(store.write(self.now, entry, value, expected))
            }
        }
    }

    /// Delivers an answer of the store to an entry.
    pub(super) fn profile_answered(
        &mut self,
        entry: usize,
        incarnation: u64,
        answer: ProfileAnswer,
    ) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        let now = self.moment(self.entries[entry].suspended_for);
        let ledger = &mut self.ledgers[entry];
        let read = match answer {
            ProfileAnswer::Written(write) => return ledger.record_write(now, write),
            ProfileAnswer::NotRead => return ledger.record_read_failure(now),
            ProfileAnswer::Read(item) => {
                let item = item.as_ref();
                ledger.record_read(now, item.map(|(revision, value)| (*revision, &value[..])))
            }
        };
        match read {
            ProfileRead::Update(profile) => {
                let profile = Arc::clone(&profile);
                let wall = self.wall();
                self.step_entry(entry, SchedulerEvent::Learned { profile, wall });
            }
            ProfileRead::NotTaken(_) => self.profile_store.unusable_documents += 1,
            ProfileRead::Absent | ProfileRead::Known => {}
        }
    }

    /// Returns the wall-clock time of all processes.
    pub fn wall(&self) -> WallTime {
        WallTime::from_millis(FIRST_WALL + self.now / MILLI)
    }
}
