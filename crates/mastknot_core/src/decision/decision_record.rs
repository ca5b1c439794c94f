use std::time::Duration;

use serde::Serialize;

use crate::dispatch::Candidate;
use crate::message::{FailReason, NotRunReason, RefusalReason};
use crate::types::{NodeName, SubmissionKey};

/// The rule that made a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "rule")]
pub enum Rule {
    /// Accepted: the expected wait was within the deadline.
    Accepted {
        /// The wait that was expected, in milliseconds.
        expected_wait_ms: u64,
        /// Tasks that waited ahead.
        ahead: u32,
    },
    /// Refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// The wait that was expected, in milliseconds.
        expected_wait_ms: u64,
    },
    /// Placed on the side with the lowest score among those with an idle credit.
    BestCredit,
    /// Started again, since the side said that it did not run.
    NotRunAgain {
        /// What the side said.
        reason: NotRunReason,
    },
    /// Started again after an unknown outcome: the service allows it and the budget did.
    UnknownAgain,
    /// A second attempt beside a slow first one.
    Hedge,
    /// Failed as a whole.
    Failed {
        /// Why.
        reason: FailReason,
    },
    /// Completed.
    Completed,
}

/// One decision about a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// The submission.
    #[serde(serialize_with = "as_text")]
    pub key: SubmissionKey,
    /// The task, if the decision is about one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<u16>,
    /// The rule that decided.
    #[serde(flatten)]
    pub rule: Rule,
    /// The side that was chosen.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chosen: Option<NodeName>,
    /// The best candidates, the chosen one first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Candidate>,
    /// How long the work had waited, in microseconds.
    pub waited_micros: u64,
    /// The configuration version in force.
    pub config_version: u64,
}

impl Decision {
    /// A decision about a whole submission.
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

    /// Sets the task.
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

    /// Sets how long the work had waited.
    pub fn waited(mut self, waited: Duration) -> Self {
        self.waited_micros = waited.as_micros() as u64;
        self
    }
}

fn as_text<S: serde::Serializer>(key: &SubmissionKey, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(key)
}
