//! Rebuilding of an answer whose owner was lost, from the results that sides remember.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::entry_core::Waiter;
use super::{EntryCore, EntryEffect};
use crate::message::{
    Digest, EntryMessage, FailReason, Ran, Refusal, RefusalReason, RememberedTask, Reply,
    SubmissionAnswer, TaskOutcome, TaskResult,
};
use crate::types::{Moment, NodeName, Now, SubmissionKey};

/// Time for which a rebuild waits for the answers of sides.
const RECALL_TIMEOUT: Duration = Duration::from_millis(500);

/// State of a query to all sides about one submission.
#[derive(Clone, Debug)]
pub(super) struct Rebuild {
    /// Digest of the resubmission; `None` if only the answer was fetched.
    digest: Option<Digest>,
    waiters: Vec<Waiter>,
    found: BTreeMap<u16, RememberedTask>,
    awaited_sides: BTreeSet<NodeName>,
    pub(super) expires_at: Moment,
}

impl EntryCore {
    /// Asks the sides for the results of a submission that an unreachable earlier owner may have
    /// run.
    pub(super) fn rebuild(
        &mut self,
        now: Now,
        waiter: Waiter,
        key: SubmissionKey,
        digest: Option<Digest>,
        out: &mut Vec<EntryEffect>,
    ) {
        if let Some(rebuild) = self.rebuilds.get_mut(&key) {
            rebuild.waiters.push(waiter);
            return;
        }
        let rebuild = Rebuild {
            digest,
            waiters: vec![waiter],
            found: BTreeMap::new(),
            awaited_sides: self.sides.keys().cloned().collect(),
            expires_at: now.monotonic + RECALL_TIMEOUT,
        };
        for side in &rebuild.awaited_sides {
            out.push(EntryEffect::ToSide {
                side: side.clone(),
                message: EntryMessage::Recall { key },
            });
        }
        self.rebuilds.insert(key, rebuild);
        self.check_rebuild(now, key, out);
    }

    /// Handles the report of a side on the tasks that it remembers.
    pub(super) fn on_remembered(
        &mut self,
        now: Now,
        side: &NodeName,
        key: SubmissionKey,
        tasks: Vec<RememberedTask>,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(rebuild) = self.rebuilds.get_mut(&key) else {
            return;
        };
        rebuild.awaited_sides.remove(side);
        for remembered in tasks {
            let is_done = matches!(remembered.outcome, Some(TaskOutcome::Done(_)));
            let index = remembered.task.index;
            if is_done || !rebuild.found.contains_key(&index) {
                rebuild.found.insert(index, remembered);
            }
        }
        self.check_rebuild(now, key, out);
    }

    pub(super) fn side_lost_in_rebuilds(
        &mut self,
        now: Now,
        side: &NodeName,
        out: &mut Vec<EntryEffect>,
    ) {
        let mut keys: Vec<SubmissionKey> = self.rebuilds.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            if let Some(rebuild) = self.rebuilds.get_mut(&key) {
                rebuild.awaited_sides.remove(side);
            }
            self.check_rebuild(now, key, out);
        }
    }

    pub(super) fn end_due_rebuilds(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        let due = |rebuild: &Rebuild| rebuild.expires_at <= now.monotonic;
        let mut keys: Vec<SubmissionKey> = self
            .rebuilds
            .iter()
            .filter(|(_, rebuild)| due(rebuild))
            .map(|(key, _)| *key)
            .collect();
        keys.sort_unstable();
        for key in keys {
            self.end_rebuild(key, out);
        }
    }

    fn check_rebuild(&mut self, now: Now, key: SubmissionKey, out: &mut Vec<EntryEffect>) {
        let Some(rebuild) = self.rebuilds.get(&key) else {
            return;
        };
        let is_over = rebuild.awaited_sides.is_empty() || rebuild.expires_at <= now.monotonic;
        if is_over || all_results(rebuild).is_some() {
            self.end_rebuild(key, out);
        }
    }

    fn end_rebuild(&mut self, key: SubmissionKey, out: &mut Vec<EntryEffect>) {
        let Some(rebuild) = self.rebuilds.remove(&key) else {
            return;
        };
        let original = rebuild.found.values().next().map(|task| task.digest);
        let is_reused = rebuild.digest.zip(original).is_some_and(|(a, b)| a != b);
        if is_reused {
            let refusal = Refusal::not_run(RefusalReason::KeyReused);
            return self.refuse_all(&rebuild.waiters, refusal, out);
        }
        let answer = match all_results(&rebuild) {
            Some(results) => {
                self.counters.rebuilt += 1;
                SubmissionAnswer::Complete(results)
            }
            None => {
                self.counters.rebuild_failed += 1;
                SubmissionAnswer::Failed {
                    reason: FailReason::HolderLost,
                    ran: Ran::Unknown,
                }
            }
        };
        // The answer is final, even if other results arrive later.
        if let Some(digest) = rebuild.digest.or(original) {
            self.ledger.accept(key, digest);
            self.ledger.finish(key, answer.clone());
        }
        for waiter in &rebuild.waiters {
            self.reply(waiter, Reply::Answered(answer.clone()), out);
        }
    }

    fn refuse_all(&mut self, waiters: &[Waiter], refusal: Refusal, out: &mut Vec<EntryEffect>) {
        for waiter in waiters {
            self.refuse(waiter, refusal.clone(), out);
        }
    }
}

/// Returns the results of all tasks in order, or `None` if any result is missing.
fn all_results(rebuild: &Rebuild) -> Option<Vec<TaskResult>> {
    let count = rebuild.found.values().next()?.count;
    let result = |index: u16| match &rebuild.found.get(&index)?.outcome {
        Some(TaskOutcome::Done(result)) => Some(result.clone()),
        _ => None,
    };
    (0..count).map(result).collect()
}
