use std::collections::HashMap;

use mastknot_standin::StartRecord;
use serde::Serialize;
use serde_json::Value;

/// Final result of one submission, as its caller saw it.
#[derive(Clone, Debug)]
pub(super) struct CallerResult {
    pub(super) key: String,
    pub(super) tasks: usize,
    pub(super) is_repeatable: bool,
    /// Value that every task is expected to return.
    pub(super) value: String,
    /// Body of the last answer; `None` if the last call got no answer.
    pub(super) body: Option<Value>,
    pub(super) millis: u64,
    pub(super) sent_at_ms: u64,
    pub(super) is_past_deadline: bool,
    /// Number of "not run" replies that came after a task of the submission had been started.
    pub(super) false_not_run: u64,
}

impl CallerResult {
    pub(super) fn state(&self) -> &str {
        let body = self.body.as_ref();
        body.and_then(|body| body["state"].as_str())
            .unwrap_or("broken")
    }
}

/// Number of violations of each guarantee; all must be zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FaultAudit {
    /// Tasks of non-repeatable services that were started more than once.
    pub started_twice: u64,
    /// Complete answers with a missing or surplus task.
    pub partial_answers: u64,
    /// Complete answers that contain the value of another caller.
    pub foreign_answers: u64,
    /// "Not run" replies to submissions of which a task had already been started.
    pub false_not_run: u64,
    /// Callers whose last call got no answer by its deadline.
    pub unanswered: u64,
    /// Times that the configuration version of an entry decreased.
    pub configuration_reverts: u64,
}

impl FaultAudit {
    /// Returns whether every guarantee held.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }

    pub(super) fn of(results: &[CallerResult], starts: &StartRecord, reverts: u64) -> Self {
        let mut audit = Self {
            configuration_reverts: reverts,
            ..Self::default()
        };
        let by_key: HashMap<&str, &CallerResult> =
            results.iter().map(|r| (r.key.as_str(), r)).collect();
        for (task, count) in &starts.starts {
            let key = task.split('/').next().unwrap_or_default();
            let Some(result) = by_key.get(key) else {
                continue;
            };
            if *count > 1 && !result.is_repeatable {
                audit.started_twice += 1;
            }
        }
        for result in results {
            audit.check_answer(result);
        }
        audit
    }

    fn check_answer(&mut self, result: &CallerResult) {
        self.unanswered += u64::from(result.is_past_deadline);
        self.false_not_run += result.false_not_run;
        if result.state() != "complete" {
            return;
        }
        let body = result.body.as_ref();
        let answers = body.and_then(|body| body["answers"].as_array());
        let answers = answers.cloned().unwrap_or_default();
        self.partial_answers += u64::from(answers.len() != result.tasks);
        let is_foreign = |answer: &Value| answer["body"]["value"] != result.value.as_str();
        self.foreign_answers += u64::from(answers.iter().any(is_foreign));
    }
}
