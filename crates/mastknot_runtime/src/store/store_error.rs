use http::StatusCode;
use snafu::Snafu;

/// Why a call to the store gave no usable answer. None of these says whether a write took effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StoreError {
    /// No answer in time.
    #[snafu(display("the store did not answer in time"))]
    Timeout,
    /// The connection could not be made or broke.
    #[snafu(display("the store could not be reached: {source}"))]
    Unreachable {
        /// What the HTTP client said.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer was cut.
    #[snafu(display("the store's answer was cut short"))]
    CutShort,
    /// The store answered with an error status.
    #[snafu(display("the store answered {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The answer is not what the protocol says.
    #[snafu(display("the store's answer is malformed: {source}"))]
    Malformed {
        /// What the JSON parser said.
        source: serde_json::Error,
    },
    /// A key or value in the answer is no base64.
    #[snafu(display("the store's answer holds malformed base64"))]
    MalformedBase64,
    /// A watch asked for a revision that the store keeps no longer.
    #[snafu(display("the store keeps nothing before revision {oldest}"))]
    Compacted {
        /// The oldest revision that it keeps.
        oldest: u64,
    },
}
