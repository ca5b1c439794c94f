use std::collections::HashMap;

use mastknot_standin::StartRecord;
use serde::Serialize;
use serde_json::Value;

/// What one caller was told, in the end.
#[derive(Clone, Debug)]
pub(super) struct Told {
    pub(super) key: String,
    pub(super) tasks: usize,
    pub(super) is_repeatable: bool,
    /// The value that every task was to answer.
    pub(super) value: String,
    /// The body of the last answer; none if the connection broke each time.
    pub(super) body: Option<Value>,
    pub(super) millis: u64,
    pub(super) sent_at_ms: u64,
    pub(super) is_past_deadline: bool,
    /// Replies of "not run" that came when a task of the submission had been started.
    pub(super) false_not_run: u64,
}

impl Told {
    pub(super) fn state(&self) -> &str {
        let body = self.body.as_ref();
        body.and_then(|body| body["state"].as_str())
            .unwrap_or("broken")
    }
}

/// The promises, counted; every number is to be zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FaultAudit {
    /// Tasks that may not be repeated and were started more than once.
    pub started_twice: u64,
    /// Complete answers that lack a task or have one too many.
    pub partial_answers: u64,
    /// Answers that hold another caller's value.
    pub foreign_answers: u64,
    /// Replies of "not run" to a submission of which a task had been started by then.
    pub false_not_run: u64,
    /// Callers without a final answer past their deadline.
    pub unanswered: u64,
    /// Times a node's configuration version went down.
    pub configuration_reverts: u64,
}

impl FaultAudit {
    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }

    pub(super) fn of(told: &[Told], starts: &StartRecord, reverts: u64) -> Self {
        let mut audit = Self {
            configuration_reverts: reverts,
            ..Self::default()
        };
        let by_key: HashMap<&str, &Told> = told.iter().map(|t| (t.key.as_str(), t)).collect();
        for (task, count) in &starts.starts {
            let key = task.split('/').next().unwrap_or_default();
            let Some(told) = by_key.get(key) else {
                continue;
            };
            if *count > 1 && !told.is_repeatable {
                audit.started_twice += 1;
            }
        }
        for one in told {
            audit.check_answer(one);
        }
        audit
    }

    fn check_answer(&mut self, told: &Told) {
        self.unanswered += u64::from(told.is_past_deadline);
        self.false_not_run += told.false_not_run;
        if told.state() != "complete" {
            return;
        }
        let body = told.body.as_ref();
        let answers = body.and_then(|body| body["answers"].as_array());
        let answers = answers.cloned().unwrap_or_default();
        self.partial_answers += u64::from(answers.len() != told.tasks);
        let is_foreign = |answer: &Value| answer["body"]["value"] != told.value.as_str();
        self.foreign_answers += u64::from(answers.iter().any(is_foreign));
    }
}
