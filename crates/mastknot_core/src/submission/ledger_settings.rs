use std::time::Duration;

/// The bounds of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// Keys older than this are refused, so what is older may be forgotten.
    pub max_key_age: Duration,
    /// The most that two clocks differ, callers' clocks included.
    pub max_clock_skew: Duration,
    /// Bytes of answers that are kept.
    pub max_answer_bytes: usize,
    /// Submissions that are kept, answers or not.
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
