use std::net::SocketAddr;

use snafu::Snafu;

/// Reasons why a link could not be made or has ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The kernel of the other VM refused the connection: nothing listens at the address.
    #[snafu(display("nothing listens at {address}"))]
    Refused {
        /// Address that was dialed.
        address: SocketAddr,
    },
    /// The link was not made in time.
    #[snafu(display("no connection to {address} in time"))]
    ConnectTimeout {
        /// Address that was dialed.
        address: SocketAddr,
    },
    /// The connection could not be made, or its socket options could not be set.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address that was dialed.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The other end does not speak h2, or the connection broke.
    #[snafu(display("the h2 connection failed: {source}"))]
    H2 {
        /// Error of the h2 library.
        source: h2::Error,
    },
    /// The request for a link could not be built.
    #[snafu(display("the link request is malformed: {source}"))]
    Request {
        /// Error of the HTTP library.
        source: http::Error,
    },
    /// The other end requested a path that belongs to no kind of link.
    #[snafu(display("the path {path:?} is not the path of a link"))]
    UnknownPath {
        /// Path of the request.
        path: String,
    },
    /// The other end opened no stream in time.
    #[snafu(display("the other end opened no stream in time"))]
    NoStream,
    /// A frame is longer than allowed.
    #[snafu(display("a frame of {length} bytes is longer than the allowed {limit}"))]
    FrameTooLong {
        /// Length of the frame, in bytes.
        length: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The bytes of a frame are not a message of the expected type.
    #[snafu(display("a frame can't be decoded: {source}"))]
    Decode {
        /// Error of the codec.
        source: bincode::error::DecodeError,
    },
    /// A message could not be encoded.
    #[snafu(display("a message cannot be encoded: {source}"))]
    Encode {
        /// Error of the codec.
        source: bincode::error::EncodeError,
    },
    /// The other end reads too slowly, so that too many messages are queued for it.
    #[snafu(display("{queued} messages are queued for a slow reader"))]
    SlowReader {
        /// Number of queued messages.
        queued: usize,
    },
    /// The link is closed.
    #[snafu(display("the link is closed"))]
    Closed,
}
