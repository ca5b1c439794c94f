use serde::{Deserialize, Serialize};

/// What a worker stand-in is told to do wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Answers every task at once that it did not run it.
    pub is_declining: bool,
    /// Answers every task at once with status 500; the task counts as started.
    pub is_failing: bool,
    /// Multiplies every task's time, in percent; zero means 100.
    pub slow_percent: u32,
    /// Runs the task and breaks the connection instead of answering: this many times.
    pub lose_answers: u32,
}
