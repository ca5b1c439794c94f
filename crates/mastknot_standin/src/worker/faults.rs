use serde::{Deserialize, Serialize};

/// Faults injected into a worker stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether the worker declines every task: it answers at once that it did not run the task.
    pub is_declining: bool,
    /// Whether the worker answers every task at once with status 500; the task counts as started.
    pub is_failing: bool,
    /// Run time of tasks relative to the time that they ask for, in percent; zero means 100.
    pub slow_percent: u32,
    /// Number of coming tasks that the worker runs but does not answer: it closes the connection.
    pub lose_answers: u32,
}
