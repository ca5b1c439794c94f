use std::time::Duration;

/// Bounds of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// Maximum age of a key. Older keys are refused, so their records may be forgotten.
    pub max_key_age: Duration,
    /// Maximum difference between any two clocks, including those of callers.
    pub max_clock_skew: Duration,
    /// Maximum size of all answers in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of submissions, with and without an answer.
    pub max_records: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            max_key_age: Duration::from_secs(600),
            max_clock_skew: Duration::from_millis(500),
            max_answer_bytes: 24 * 1024 * 1024,
            max_records: 200_000,
        }
    }
}
