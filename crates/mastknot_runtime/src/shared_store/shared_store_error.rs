use snafu::Snafu;

/// Why a call to the store has no result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SharedStoreError {
    /// No answer; a write may have been done.
    #[snafu(display("the store gave no answer: {problem}"))]
    NoAnswer {
        /// What was seen.
        problem: String,
    },
    /// The store turned the call away and did nothing.
    #[snafu(display("the store turned the call away with status {status}"))]
    TurnedAway {
        /// Its status.
        status: u16,
    },
    /// The changes since the asked revision are gone.
    #[snafu(display("the store has forgotten the changes since then"))]
    HistoryGone,
    /// The answer can't be read.
    #[snafu(display("the store's answer can't be read: {problem}"))]
    Malformed {
        /// What is wrong.
        problem: String,
    },
}
