use snafu::Snafu;

/// Reasons why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// The connection broke before the body was complete.
    #[snafu(display("the connection broke before the body was whole"))]
    Broken,
    /// The server has no memory for the body, or gave its memory to other requests before the body was complete.
    #[snafu(display("there is no memory for the body"))]
    NoMemory,
}
