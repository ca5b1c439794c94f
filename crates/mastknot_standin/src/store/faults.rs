use serde::{Deserialize, Serialize};

/// Faults injected into the store stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether the store answers every call with status 503 at once and ends all watches.
    pub is_down: bool,
    /// Delay before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Number of coming writes that take effect but are answered with status 504.
    pub lose_answers: u32,
    /// Number of revisions by which answers to lists and reads of the newest revision are outdated.
    pub stale_revisions: u64,
    /// Whether watches stay open without reporting any changes.
    pub is_watch_silent: bool,
}
