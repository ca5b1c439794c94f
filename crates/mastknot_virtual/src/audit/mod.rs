//! The promises, checked from outside of the cores.

use std::collections::{BTreeMap, HashMap, HashSet};

use mastknot_core::message::{FailReason, Ran, Reply, Submission, SubmissionAnswer};
use mastknot_core::types::{NodeName, SubmissionKey, TaskId};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A task that may not be repeated was started twice.
    StartedTwice(TaskId),
    /// A complete answer lacks a task or has one too many.
    IncompleteAnswer(SubmissionKey),
    /// A complete answer holds another submission's bytes.
    WrongAnswer(SubmissionKey),
    /// A reply said "not run", and a task of the submission had been started.
    FalseNotRun(SubmissionKey),
    /// Two final answers to one key differ.
    AnswersDiffer(SubmissionKey),
    /// A caller was answered twice.
    AnsweredTwice(u64),
    /// A node went back to an older configuration.
    ConfigReverted(NodeName),
    /// A target got new work long after it began to leave.
    StartedWhileLeaving(NodeName),
}

/// Keeps the record of true starts and checks every reply against it.
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
    /// What was broken so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// All starts so far.
    pub fn total_starts(&self) -> u64 {
        self.starts.values().map(|count| u64::from(*count)).sum()
    }

    /// How often a task was started.
    pub fn starts_of(&self, task: TaskId) -> u32 {
        self.starts.get(&task).copied().unwrap_or(0)
    }

    /// Allows a submission's task to be started more than once.
    pub fn allow_repeats(&mut self, key: SubmissionKey) {
        self.repeatable.insert(key);
    }

    /// Records a broken promise that something else has noticed.
    pub fn report(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// A target starts a task.
    pub fn record_start(&mut self, task: TaskId) {
        self.started_keys.insert(task.key);
        let count = self.starts.entry(task).or_default();
        *count += 1;
        if *count == 2 && !self.repeatable.contains(&task.key) {
            self.violations.push(Violation::StartedTwice(task));
        }
    }

    /// A node has a configuration version in force.
    pub fn record_config(&mut self, node: &NodeName, version: u64) {
        let held = self.config.entry(node.clone()).or_default();
        if version < *held {
            let reverted = Violation::ConfigReverted(node.clone());
            self.violations.push(reverted);
        }
        *held = version;
    }

    /// A node has lost its memory by a restart.
    pub fn record_restart(&mut self, node: &NodeName) {
        self.config.remove(node);
    }

    /// A caller gets a reply to a submission.
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

/// The honest "unknown": the holder that had the answer is lost, or has had to drop it.
fn is_unknown(answer: &SubmissionAnswer) -> bool {
    let SubmissionAnswer::Failed { reason, .. } = answer else {
        return false;
    };
    matches!(reason, FailReason::HolderLost | FailReason::AnswerEvicted)
}

/// Reuse of a key with other content says that the new content was not run.
fn is_about_reuse(refusal: &mastknot_core::message::Refusal) -> bool {
    refusal.reason == mastknot_core::message::RefusalReason::KeyReused
}
