//! Checks of the guarantees, made from outside of the cores.

use std::collections::{BTreeMap, HashMap, HashSet};

use mastknot_core::message::{FailReason, Ran, Reply, Submission, SubmissionAnswer};
use mastknot_core::types::{NodeName, SubmissionKey, TaskId};

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A task that must not be repeated was started twice.
    StartedTwice(TaskId),
    /// A complete answer has fewer or more results than the submission has tasks.
    IncompleteAnswer(SubmissionKey),
    /// A complete answer contains the bytes of another submission.
    WrongAnswer(SubmissionKey),
    /// A reply reported "not run" although a task of the submission had been started.
    FalseNotRun(SubmissionKey),
    /// Two final answers to the same key differ.
    AnswersDiffer(SubmissionKey),
    /// A caller received two replies to one request.
    AnsweredTwice(u64),
    /// A node returned to an older configuration version.
    ConfigReverted(NodeName),
    /// A target received new work long after it had begun to leave.
    StartedWhileLeaving(NodeName),
}

/// Records the actual starts of tasks and checks every reply against them.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    starts: HashMap<TaskId, u32>,
    started_keys: HashSet<SubmissionKey>,
    repeatable: HashSet<SubmissionKey>,
    answers: HashMap<SubmissionKey, SubmissionAnswer>,
    config: BTreeMap<NodeName, u64>,
    violations: Vec<Violation>,
}

impl Audit {
    /// Returns the violations recorded so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of starts of all tasks so far.
    pub fn total_starts(&self) -> u64 {
        self.starts.values().map(|count| u64::from(*count)).sum()
    }

    /// Returns the number of starts of a task.
    pub fn starts_of(&self, task: TaskId) -> u32 {
        self.starts.get(&task).copied().unwrap_or(0)
    }

    /// Allows the tasks of a submission to be started more than once.
    pub fn allow_repeats(&mut self, key: SubmissionKey) {
        self.repeatable.insert(key);
    }

    /// Records a violation that was detected outside of the audit.
    pub fn report(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Records that a target starts a task.
    pub fn record_start(&mut self, task: TaskId) {
        self.started_keys.insert(task.key);
        let count = self.starts.entry(task).or_default();
        *count += 1;
        if *count == 2 && !self.repeatable.contains(&task.key) {
            self.violations.push(Violation::StartedTwice(task));
        }
    }

    /// Records the configuration version that is in force at a node.
    pub fn record_config(&mut self, node: &NodeName, version: u64) {
        let held = self.config.entry(node.clone()).or_default();
        if version < *held {
            let reverted = Violation::ConfigReverted(node.clone());
            self.violations.push(reverted);
        }
        *held = version;
    }

    /// Records that a node has lost its memory in a restart, so that an older configuration is no violation.
    pub fn record_restart(&mut self, node: &NodeName) {
        self.config.remove(node);
    }

    /// Records the reply to a submission and checks it.
    pub fn record_reply(&mut self, submission: &Submission, reply: &Reply) {
        let key = submission.key;
        match reply {
            Reply::Answered(answer) => self.check_answer(submission, answer),
            Reply::Refused(refusal) if refusal.ran == Ran::NotRun => {
                if self.started_keys.contains(&key) && !is_about_reuse(refusal) {
                    self.violations.push(Violation::FalseNotRun(key));
                }
            }
            Reply::Refused(_) | Reply::Pending { .. } => {}
        }
    }

    fn check_answer(&mut self, submission: &Submission, answer: &SubmissionAnswer) {
        let key = submission.key;
        if let SubmissionAnswer::Complete(results) = answer {
            if results.len() != submission.tasks.len() {
                self.violations.push(Violation::IncompleteAnswer(key));
            }
            let pairs = results.iter().zip(&submission.tasks);
            if pairs.into_iter().any(|(result, task)| result.body != *task) {
                self.violations.push(Violation::WrongAnswer(key));
            }
        }
        let first = self.answers.entry(key).or_insert_with(|| answer.clone());
        if first != answer && !is_unknown(answer) && !is_unknown(first) {
            self.violations.push(Violation::AnswersDiffer(key));
        }
    }
}

/// Returns whether the answer is a legitimate "unknown": the holder that had the answer is lost, or has had
/// to evict it.
fn is_unknown(answer: &SubmissionAnswer) -> bool {
    let SubmissionAnswer::Failed { reason, .. } = answer else {
        return false;
    };
    matches!(reason, FailReason::HolderLost | FailReason::AnswerEvicted)
}

/// Returns whether the refusal concerns a key that was reused with other content. Such a refusal reports that
/// the new content was not run, and the first content may have been.
fn is_about_reuse(refusal: &mastknot_core::message::Refusal) -> bool {
    refusal.reason == mastknot_core::message::RefusalReason::KeyReused
}
