//! Errors of measurements.

use mastknot_client::ClientError;
use mastknot_harness::HarnessError;
use snafu::Snafu;

/// Error of a measurement.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The system under load failed to start or to accept its configuration.
    #[snafu(display("{source}"), context(false))]
    Harness {
        /// Underlying error.
        source: HarnessError,
    },
    /// A call to an entry or a target failed.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// Underlying error.
        source: ClientError,
    },
    /// A file cannot be written or read, or a process cannot be started or signalled.
    #[snafu(display("{subject}: {source}"))]
    Io {
        /// File, process or other object of the failed operation.
        subject: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The run did not reach the state that it is meant to measure, so its results are not valid.
    #[snafu(display("the run is not valid: {reason}"))]
    InvalidRun {
        /// Condition that was not met.
        reason: String,
    },
    /// A plot could not be drawn.
    #[snafu(display("the plot could not be drawn: {reason}"))]
    Plot {
        /// Error of the plotting library.
        reason: String,
    },
}
