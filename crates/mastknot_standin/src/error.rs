//! Errors of starting a stand-in.

use snafu::Snafu;

/// Error of starting a stand-in.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandInError {
    /// The server could not listen on the address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address as given by the caller.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
