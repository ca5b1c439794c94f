use serde::{Deserialize, Serialize};

/// What the store stand-in is told to do wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Answers every call with 503 at once and ends all watches.
    pub is_down: bool,
    /// Waits this long before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Drops the answers of the next writes that took effect: this many.
    pub lose_answers: u32,
    /// Lists and newest-revision reads answer from this many revisions ago.
    pub stale_revisions: u64,
    /// Watches stay open and say nothing.
    pub is_watch_silent: bool,
}
