use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use super::LedgerSettings;
use crate::message::{Digest, FailReason, HandoverRecord, Ran, RefusalReason, SubmissionAnswer};
use crate::types::{SubmissionKey, WallTime};

/// State of a key in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The key is not known.
    Absent,
    /// The submission is accepted and has no answer yet.
    Active,
    /// The submission has its final answer.
    Finished(Arc<SubmissionAnswer>),
    /// The key was used before with different content.
    Reused,
}

#[derive(Clone, Debug)]
enum State {
    Active,
    Finished(Arc<SubmissionAnswer>),
}

#[derive(Clone, Debug)]
struct Record {
    digest: Digest,
    state: State,
}

/// Record of every submission that this entry accepted. A record is kept until its key is too old
/// to be submitted again.
///
/// The ledger is bounded in bytes and in number. When the answers take too many bytes, the oldest
/// finished answer is replaced by a failure with [`FailReason::AnswerEvicted`], which states that
/// the submission ran; the key is kept. When the number of records reaches its bound, new keys are
/// refused, because forgetting a recent key could let its submission start twice.
///
/// # Examples
///
/// ```
/// use mastknot_core::submission::{Ledger, LedgerSettings, Lookup};
/// use mastknot_core::types::{SubmissionKey, WallTime};
///
/// let mut ledger = Ledger::new(LedgerSettings::default());
/// let key = SubmissionKey::new(WallTime::from_millis(1_000), 7);
/// ledger.accept(key, 1);
/// assert_eq!(ledger.look_up(key, 1), Lookup::Active);
/// assert_eq!(ledger.look_up(key, 2), Lookup::Reused);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    records: HashMap<SubmissionKey, Record>,
    /// All keys; they sort by the time at which they were made.
    by_age: BTreeSet<SubmissionKey>,
    /// Keys of finished submissions in the order in which they finished.
    finished: VecDeque<SubmissionKey>,
    answer_bytes: usize,
    evicted: u64,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            settings,
            records: HashMap::new(),
            by_age: BTreeSet::new(),
            finished: VecDeque::new(),
            answer_bytes: 0,
            evicted: 0,
        }
    }

    /// Returns the number of submissions in the ledger.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the ledger is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of all answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the number of answers that were evicted to stay within the bound.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the bounds.
    pub fn settings(&self) -> &LedgerSettings {
        &self.settings
    }

    /// Checks by the clock of this process that a key is neither too old nor from the future.
    /// Returns the reason to refuse the key otherwise.
    pub fn check_age(&self, wall: WallTime, key: SubmissionKey) -> Result<(), RefusalReason> {
        if key.made_at() > wall.plus(self.settings.max_clock_skew) {
            return Err(RefusalReason::KeyFromFuture);
        }
        if key.made_at() < wall.minus(self.settings.max_key_age) {
            return Err(RefusalReason::KeyTooOld);
        }
        Ok(())
    }

    /// Returns whether one more submission can be recorded.
    pub fn has_capacity(&self) -> bool {
        self.records.len() < self.settings.max_records
    }

    /// Returns the state of a key, or [`Lookup::Reused`] if the content differs.
    pub fn look_up(&self, key: SubmissionKey, digest: Digest) -> Lookup {
        match self.records.get(&key) {
            Some(record) if record.digest != digest => Lookup::Reused,
            _ => self.find(key),
        }
    }

    /// Returns the state of a key regardless of its content.
    pub fn find(&self, key: SubmissionKey) -> Lookup {
        match self.records.get(&key).map(|record| &record.state) {
            None => Lookup::Absent,
            Some(State::Active) => Lookup::Active,
            Some(State::Finished(answer)) => Lookup::Finished(Arc::clone(answer)),
        }
    }

    /// Records that a key was accepted.
    pub fn accept(&mut self, key: SubmissionKey, digest: Digest) {
        let state = State::Active;
        let before = self.records.insert(key, Record { digest, state });
        debug_assert!(before.is_none(), "key {key} was accepted before");
        self.by_age.insert(key);
    }

    /// Forgets an accepted key of which no task has run.
    pub fn withdraw(&mut self, key: SubmissionKey) {
        let is_active = self
            .records
            .get(&key)
            .is_some_and(|record| matches!(record.state, State::Active));
        debug_assert!(is_active, "key {key} is not active");
        self.records.remove(&key);
        self.by_age.remove(&key);
    }

    /// Stores and returns the final answer to an accepted key.
    pub fn finish(
        &mut self,
        key: SubmissionKey,
        answer: SubmissionAnswer,
    ) -> Arc<SubmissionAnswer> {
        let answer = Arc::new(answer);
        if let Some(record) = self.records.get_mut(&key) {
            record.state = State::Finished(Arc::clone(&answer));
            self.answer_bytes += answer_bytes(&answer);
            self.finished.push_back(key);
        }
        self.evict();
        answer
    }

    fn evict(&mut self) {
        while self.answer_bytes > self.settings.max_answer_bytes {
            let Some(oldest) = self.finished.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&oldest) else {
                continue;
            };
            let State::Finished(answer) = &record.state else {
                continue;
            };
            self.answer_bytes -= answer_bytes(answer);
            let evicted = SubmissionAnswer::Failed {
                reason: FailReason::AnswerEvicted,
                ran: Ran::Ran,
            };
            self.answer_bytes += answer_bytes(&evicted);
            record.state = State::Finished(Arc::new(evicted));
            self.evicted += 1;
        }
    }

    /// Forgets finished submissions whose keys are too old to be accepted by any entry.
    pub fn trim(&mut self, wall: WallTime) {
        let kept = self.settings.max_key_age + 2 * self.settings.max_clock_skew;
        let oldest = wall.minus(kept);
        while let Some(key) = self.by_age.first().copied() {
            if key.made_at() >= oldest {
                return;
            }
            match self.records.get(&key).map(|record| &record.state) {
                Some(State::Active) => return,
                Some(State::Finished(answer)) => self.answer_bytes -= answer_bytes(answer),
                None => {}
            }
            self.records.remove(&key);
            self.by_age.remove(&key);
        }
    }

    /// Returns all finished submissions, for the handover at a planned stop.
    pub fn finished_records(&self) -> Vec<HandoverRecord> {
        let record = |key: &SubmissionKey| {
            let record = self.records.get(key)?;
            let State::Finished(answer) = &record.state else {
                return None;
            };
            Some(HandoverRecord {
                key: *key,
                digest: record.digest,
                answer: SubmissionAnswer::clone(answer),
            })
        };
        self.by_age.iter().filter_map(record).collect()
    }

    /// Adds a submission that was finished by another owner.
    pub fn take_over(&mut self, record: HandoverRecord) {
        if self.records.contains_key(&record.key) {
            return;
        }
        self.accept(record.key, record.digest);
        self.finish(record.key, record.answer);
    }
}

/// Returns the size of an answer in bytes, including a fixed overhead for each result.
fn answer_bytes(answer: &SubmissionAnswer) -> usize {
    const FIXED_BYTES: usize = 48;
    match answer {
        SubmissionAnswer::Complete(results) => results
            .iter()
            .map(|result| FIXED_BYTES + result.body.len())
            .sum(),
        SubmissionAnswer::Failed { .. } => FIXED_BYTES,
    }
}
