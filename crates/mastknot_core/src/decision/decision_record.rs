use std::time::Duration;

use serde::Serialize;

use crate::dispatch::Candidate;
use crate::message::{FailReason, NotRunReason, RefusalReason};
use crate::types::{NodeName, SubmissionKey};

/// Rule by which a decision was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "rule")]
pub enum Rule {
    /// The submission was accepted: its expected wait was within the deadline.
    Accepted {
        /// Expected wait in milliseconds.
        expected_wait_ms: u64,
        /// Number of tasks that waited ahead of the submission.
        ahead: u32,
    },
    /// The submission was refused.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Expected wait in milliseconds.
        expected_wait_ms: u64,
    },
    /// The task was placed on the side with the lowest score among those with an idle credit.
    BestCredit,
    /// The task was started again, because a side reported that it did not run.
    NotRunAgain {
        /// Reason reported by the side.
        reason: NotRunReason,
    },
    /// The task was started again after an unknown outcome: the service is repeatable and the retry
    /// budget covered it.
    UnknownAgain,
    /// A second attempt was started beside a slow first one.
    Hedge,
    /// The submission failed as a whole.
    Failed {
        /// Reason for the failure.
        reason: FailReason,
    },
    /// The submission completed.
    Completed,
}

/// One decision about a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// Key of the submission.
    #[serde(serialize_with = "as_text")]
    pub key: SubmissionKey,
    /// Index of the task, if the decision is about a single task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<u16>,
    /// Rule by which the decision was made.
    #[serde(flatten)]
    pub rule: Rule,
    /// Side that the decision is about: the chosen side, or the side of the failed attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chosen: Option<NodeName>,
    /// Best candidates, the chosen one first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Candidate>,
    /// Time for which the work had waited, in microseconds.
    pub waited_micros: u64,
    /// Configuration version in force at the time of the decision.
    pub config_version: u64,
}

impl Decision {
    /// Returns a decision about a whole submission.
    pub fn new(key: SubmissionKey, rule: Rule) -> Self {
        Self {
            key,
            task: None,
            rule,
            chosen: None,
            candidates: Vec::new(),
            waited_micros: 0,
            config_version: 0,
        }
    }

    /// Sets the index of the task.
    pub fn task(mut self, index: u16) -> Self {
        self.task = Some(index);
        self
    }

    /// Sets the chosen side and the candidates.
    pub fn chosen(mut self, side: NodeName, candidates: Vec<Candidate>) -> Self {
        self.chosen = Some(side);
        self.candidates = candidates;
        self
    }

    /// Sets the time for which the work had waited.
    pub fn waited(mut self, waited: Duration) -> Self {
        self.waited_micros = waited.as_micros() as u64;
        self
    }
}

fn as_text<S: serde::Serializer>(key: &SubmissionKey, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(key)
}
