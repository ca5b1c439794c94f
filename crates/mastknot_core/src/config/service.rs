use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A service as the operators define it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Path on the target's HTTP server that runs a task of the service.
    pub path: String,
    /// Whether a request may run more than once; a payment, for example, may not.
    #[serde(default)]
    pub repeatable: bool,
    /// Longest deadline that a caller may ask for, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub max_deadline_ms: u32,
    /// Typical run time of a task, in milliseconds, used until run times have been measured.
    #[serde(default = "default_typical_ms")]
    pub typical_ms: u32,
    /// Number of accelerators that each task needs on its worker.
    #[serde(default)]
    pub accelerators: u16,
    /// Memory that each task needs on its worker, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
}

fn default_deadline_ms() -> u32 {
    30_000
}

fn default_typical_ms() -> u32 {
    150
}

impl Service {
    /// Returns the typical run time of a task.
    pub fn typical(&self) -> Duration {
        Duration::from_millis(u64::from(self.typical_ms))
    }
}
