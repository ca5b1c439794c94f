//! Errors of calls to an entry.

use snafu::Snafu;

/// Reasons why a call to an entry has no usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// The entry did not answer in time.
    #[snafu(display("{address} did not answer in time"))]
    Timeout {
        /// Address of the entry.
        address: String,
    },
    /// No connection could be made, so the entry received no part of the request.
    #[snafu(display("{address} cannot be reached: {source}"))]
    NotConnected {
        /// Address of the entry.
        address: String,
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection broke after the request was sent, so the entry may have carried it out.
    #[snafu(display("the connection to {address} broke: {source}"))]
    Broken {
        /// Address of the entry.
        address: String,
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer ended before it was complete.
    #[snafu(display("the answer of {address} was cut short"))]
    CutShort {
        /// Address of the entry.
        address: String,
    },
    /// The request could not be built.
    #[snafu(display("the request is malformed: {source}"))]
    Request {
        /// Error of the HTTP library.
        source: http::Error,
    },
    /// The answer is not valid JSON.
    #[snafu(display("the answer of {address} is malformed: {source}"))]
    Malformed {
        /// Address of the entry.
        address: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}
