use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::message::{CreditSeq, Digest, RememberedTask, TaskOrder, TaskOutcome};
use crate::types::{Moment, SubmissionKey, TaskId};

/// Size of a remembered start without its answer, in bytes.
const FIXED_BYTES: usize = 96;

#[derive(Clone, Debug)]
struct Remembered {
    task: TaskId,
    count: u16,
    digest: Digest,
    outcome: Option<TaskOutcome>,
    at: Moment,
}

impl Remembered {
    fn bytes(&self) -> usize {
        match &self.outcome {
            Some(TaskOutcome::Done(result)) => FIXED_BYTES + result.body.len(),
            _ => FIXED_BYTES,
        }
    }
}

/// Recent starts of a side, by the credit that each used.
///
/// The record shows whether a start message has been received before, and what is known about a
/// submission whose owner was lost. It is bounded by age, number and bytes. The oldest start is
/// removed first, and only after it has ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartMemory {
    by_seq: BTreeMap<CreditSeq, Remembered>,
    by_key: HashMap<SubmissionKey, Vec<CreditSeq>>,
    forgotten_up_to: CreditSeq,
    bytes: usize,
}

impl StartMemory {
    /// Returns whether the credit has been used, or is too old to tell.
    pub(crate) fn may_have_started(&self, seq: CreditSeq) -> bool {
        seq <= self.forgotten_up_to || self.by_seq.contains_key(&seq)
    }

    /// Returns whether the task was started here and is still remembered.
    pub(crate) fn has_task(&self, task: TaskId) -> bool {
        let Some(seqs) = self.by_key.get(&task.key) else {
            return false;
        };
        seqs.iter().any(|seq| self.by_seq[seq].task == task)
    }

    /// Records a start.
    pub(crate) fn record_start(&mut self, at: Moment, seq: CreditSeq, order: &TaskOrder) {
        let task = order.task;
        let remembered = Remembered {
            task,
            count: order.count,
            digest: order.digest,
            outcome: None,
            at,
        };
        self.bytes += remembered.bytes();
        self.by_seq.insert(seq, remembered);
        self.by_key.entry(task.key).or_default().push(seq);
    }

    /// Records the outcome of a start.
    pub(crate) fn record_end(&mut self, seq: CreditSeq, outcome: TaskOutcome) {
        let Some(remembered) = self.by_seq.get_mut(&seq) else {
            return;
        };
        self.bytes -= remembered.bytes();
        remembered.outcome = Some(outcome);
        self.bytes += remembered.bytes();
    }

    /// Returns all remembered tasks of a submission.
    pub(crate) fn of_key(&self, key: SubmissionKey) -> Vec<RememberedTask> {
        let seqs = self.by_key.get(&key).map(Vec::as_slice).unwrap_or_default();
        seqs.iter()
            .map(|seq| &self.by_seq[seq])
            .map(|remembered| RememberedTask {
                task: remembered.task,
                count: remembered.count,
                digest: remembered.digest,
                outcome: remembered.outcome.clone(),
            })
            .collect()
    }

    /// Removes the oldest starts that have ended until all bounds hold. Stops at a start that has
    /// not ended.
    pub(crate) fn trim(&mut self, now: Moment, age: Duration, starts: usize, bytes: usize) {
        while let Some((&seq, oldest)) = self.by_seq.first_key_value() {
            let is_due = now.since(oldest.at) > age;
            let is_over = self.by_seq.len() > starts || self.bytes > bytes;
            if oldest.outcome.is_none() || !(is_due || is_over) {
                return;
            }
            self.forget(seq);
        }
    }

    fn forget(&mut self, seq: CreditSeq) {
        let Some(remembered) = self.by_seq.remove(&seq) else {
            return;
        };
        self.bytes -= remembered.bytes();
        self.forgotten_up_to = seq;
        if let Some(seqs) = self.by_key.get_mut(&remembered.task.key) {
            seqs.retain(|other| *other != seq);
            if seqs.is_empty() {
                self.by_key.remove(&remembered.task.key);
            }
        }
    }
}
