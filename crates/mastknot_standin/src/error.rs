//! What can go wrong when a stand-in starts.

use snafu::Snafu;

/// Why a stand-in did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandInError {
    /// The address can't be listened at.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// What the operating system said.
        source: std::io::Error,
    },
}
