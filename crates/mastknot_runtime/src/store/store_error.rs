use http::StatusCode;
use snafu::Snafu;

/// Reasons why a call to the store has no usable answer. After any of them, a write may or may not have taken effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StoreError {
    /// The store did not answer in time.
    #[snafu(display("the store did not answer in time"))]
    Timeout,
    /// The connection could not be made or broke.
    #[snafu(display("the store could not be reached: {source}"))]
    Unreachable {
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer ended before it was complete, or was too long.
    #[snafu(display("the store's answer was cut short"))]
    CutShort,
    /// The store answered with an error status.
    #[snafu(display("the store answered {status}"))]
    Status {
        /// HTTP status of the answer.
        status: StatusCode,
    },
    /// The answer does not conform to the protocol.
    #[snafu(display("the store's answer is malformed: {source}"))]
    Malformed {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A key or value in the answer is not valid base64, or a key is not valid UTF-8.
    #[snafu(display("the store's answer holds malformed base64"))]
    MalformedBase64,
    /// A watch requested a revision that the store has compacted.
    #[snafu(display("the store has discarded the changes before revision {oldest}"))]
    Compacted {
        /// Oldest revision that the store keeps.
        oldest: u64,
    },
}
