//! What entries have learned, in the store: the real decisions of who writes it and when, over a small store.

use std::sync::Arc;
use std::time::Duration;

use mastknot_core::profile::{ProfileCall, ProfileLedger, ProfileRead, ProfileWrite};
use mastknot_core::scheduler::SchedulerEvent;
use mastknot_core::types::WallTime;

use super::act::Act;
use super::job_system::{JobSystem, MILLI};

/// How long a call takes, in microseconds.
const CALL_TIME: u64 = 5 * MILLI;
/// Between two looks of an entry at what is new.
const LOOK_INTERVAL: u64 = 1_000 * MILLI;
/// The wall clock at the begin, in milliseconds.
const FIRST_WALL: u64 = 1_700_000_000_000;

/// The document as the store has it, and what was done with it.
#[derive(Clone, Debug, Default)]
pub struct ProfileStore {
    /// The document; none if nobody has written it.
    pub value: Option<Vec<u8>>,
    /// Its revision.
    pub revision: u64,
    /// Reads of entries.
    pub reads: usize,
    /// When entries have written it, and which.
    pub writes: Vec<(Duration, usize)>,
    /// Writes whose condition did not hold.
    pub refused_writes: usize,
    /// Documents that an entry could not use.
    pub unusable_documents: usize,
    /// Until when answers to writes are lost, in microseconds.
    answers_lost_until: u64,
    /// Until when all calls for the document are turned away, in microseconds.
    away_until: u64,
}

/// What an entry hears of its call.
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
    /// The document of what entries have learned.
    pub fn profile_store(&self) -> &ProfileStore {
        &self.profile_store
    }

    /// Puts something in the document's place.
    pub fn put_profile(&mut self, value: Vec<u8>) {
        self.profile_store.put(value);
    }

    /// Answers to writes of the document are lost until a time.
    pub fn lose_profile_answers(&mut self, until: Duration) {
        self.profile_store.answers_lost_until = until.as_micros() as u64;
    }

    /// Calls for the document are turned away until a time.
    pub fn reject_profile_calls(&mut self, until: Duration) {
        self.profile_store.away_until = until.as_micros() as u64;
    }

    /// An entry that starts reads the document, and writes it when it is its turn.
    pub(super) fn start_profile(&mut self, entry: usize) {
        self.ledgers[entry] = ProfileLedger::default();
        let life = self.entries[entry].life;
        self.look_at_profile(entry, life);
    }

    /// An entry looks whether it has to read or write the document.
    pub(super) fn look_at_profile(&mut self, entry: usize, life: u64) {
        if self.entries[entry].life != life || !self.scarcity.profile {
            return;
        }
        self.later(LOOK_INTERVAL, Act::LookAtProfile { entry, life });
        let wall = self.wall();
        let node = &self.entries[entry];
        let Some(core) = &node.core else {
            return;
        };
        let now = self.moment(node.asleep);
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
        let answered = Act::ProfileAnswered {
            entry,
            life,
            answer,
        };
        self.later(CALL_TIME, answered);
    }

    fn carry_out(&mut self, entry: usize, call: ProfileCall) -> ProfileAnswer {
        let away_until = self.store_away_until[entry].max(self.profile_store.away_until);
        let is_away = !self.is_store_reachable || away_until > self.now;
        let store = &mut self.profile_store;
        match call {
            ProfileCall::Read if is_away => ProfileAnswer::NotRead,
            ProfileCall::Read => store.read(),
            ProfileCall::Write { .. } if is_away => {
                ProfileAnswer::Written(ProfileWrite::TurnedAway)
            }
            ProfileCall::Write { value, expected } => {
                ProfileAnswer::Written(store.write(self.now, entry, value, expected))
            }
        }
    }

    /// An entry has an answer of the store.
    pub(super) fn profile_answered(&mut self, entry: usize, life: u64, answer: ProfileAnswer) {
        if self.entries[entry].life != life {
            return;
        }
        let now = self.moment(self.entries[entry].asleep);
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

    /// The wall clock of all processes.
    pub fn wall(&self) -> WallTime {
        WallTime::from_millis(FIRST_WALL + self.now / MILLI)
    }
}
