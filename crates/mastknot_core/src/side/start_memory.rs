use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::message::{CreditSeq, Digest, RememberedTask, TaskOrder, TaskOutcome};
use crate::types::{Moment, SubmissionKey, TaskId};

/// The size of a remembered start besides its answer, in bytes.
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

/// What a side started lately, by the credit that was spent.
///
/// It answers two questions: was this start message seen before, and what is known of a
/// submission whose holder was lost. Bounded by age, number and bytes; the oldest ended start
/// goes first, and a start that still runs is never forgotten.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartMemory {
    by_seq: BTreeMap<CreditSeq, Remembered>,
    by_key: HashMap<SubmissionKey, Vec<CreditSeq>>,
    forgotten_up_to: CreditSeq,
    bytes: usize,
}

impl StartMemory {
    /// Whether the credit was spent, or is so old that this can't be told any more.
    pub(crate) fn may_have_started(&self, seq: CreditSeq) -> bool {
        seq <= self.forgotten_up_to || self.by_seq.contains_key(&seq)
    }

    /// Whether the task was started here and is still remembered.
    pub(crate) fn has_task(&self, task: TaskId) -> bool {
        let Some(seqs) = self.by_key.get(&task.key) else {
            return false;
        };
        seqs.iter().any(|seq| self.by_seq[seq].task == task)
    }

    /// Remembers a start.
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

    /// Remembers how a start ended.
    pub(crate) fn record_end(&mut self, seq: CreditSeq, outcome: TaskOutcome) {
        let Some(remembered) = self.by_seq.get_mut(&seq) else {
            return;
        };
        self.bytes -= remembered.bytes();
        remembered.outcome = Some(outcome);
        self.bytes += remembered.bytes();
    }

    /// All that is remembered of a submission.
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

    /// Forgets the oldest ended starts until all bounds hold.
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
