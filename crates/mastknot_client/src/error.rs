//! What can go wrong with a call to an entry.

use snafu::Snafu;

/// Why an entry gave no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No answer in time.
    #[snafu(display("{address} did not answer in time"))]
    Timeout {
        /// The address.
        address: String,
    },
    /// No connection could be made: nothing of the request was seen.
    #[snafu(display("{address} cannot be reached: {source}"))]
    NotConnected {
        /// The address.
        address: String,
        /// What the HTTP client said.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection broke after the request was sent: it may have been acted on.
    #[snafu(display("the connection to {address} broke: {source}"))]
    Broken {
        /// The address.
        address: String,
        /// What the HTTP client said.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer was cut short.
    #[snafu(display("the answer of {address} was cut short"))]
    CutShort {
        /// The address.
        address: String,
    },
    /// The request could not be built.
    #[snafu(display("the request is malformed: {source}"))]
    Request {
        /// What the HTTP library said.
        source: http::Error,
    },
    /// The answer is no JSON.
    #[snafu(display("the answer of {address} is malformed: {source}"))]
    Malformed {
        /// The address.
        address: String,
        /// What the JSON parser said.
        source: serde_json::Error,
    },
}
