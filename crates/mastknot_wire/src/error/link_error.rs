use std::net::SocketAddr;

use snafu::Snafu;

/// Why a link could not be made or has ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// Nothing listens at the address: the kernel of its VM refused the connection.
    #[snafu(display("nothing listens at {address}"))]
    Refused {
        /// The address.
        address: SocketAddr,
    },
    /// No connection within the time.
    #[snafu(display("no connection to {address} in time"))]
    ConnectTimeout {
        /// The address.
        address: SocketAddr,
    },
    /// The connection could not be made or set up.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The other end did not speak h2, or the connection broke.
    #[snafu(display("the h2 connection failed: {source}"))]
    H2 {
        /// What the h2 library said.
        source: h2::Error,
    },
    /// The request for a link could not be built.
    #[snafu(display("the link request is malformed: {source}"))]
    Request {
        /// What the HTTP library said.
        source: http::Error,
    },
    /// The other end asked for a path that is no link.
    #[snafu(display("the path {path:?} is no link"))]
    UnknownPath {
        /// The path.
        path: String,
    },
    /// The other end opened no stream in time.
    #[snafu(display("the other end opened no stream in time"))]
    NoStream,
    /// A frame is longer than allowed.
    #[snafu(display("a frame of {length} bytes is longer than the allowed {limit}"))]
    FrameTooLong {
        /// Its length.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// A frame holds no message of the expected type.
    #[snafu(display("a frame holds no message: {source}"))]
    Decode {
        /// What the codec said.
        source: bincode::error::DecodeError,
    },
    /// A message could not be encoded.
    #[snafu(display("a message cannot be encoded: {source}"))]
    Encode {
        /// What the codec said.
        source: bincode::error::EncodeError,
    },
    /// The other end reads too slowly: too many bytes wait for it.
    #[snafu(display("{queued} bytes wait for a slow reader"))]
    SlowReader {
        /// The waiting bytes.
        queued: usize,
    },
    /// The link is closed.
    #[snafu(display("the link is closed"))]
    Closed,
}
