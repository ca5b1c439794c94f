//! What can go wrong with a measurement.

use mastknot_client::ClientError;
use mastknot_harness::HarnessError;
use snafu::Snafu;

/// Why a measurement gave no figures.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The system under load failed.
    #[snafu(display("{source}"), context(false))]
    Harness {
        /// Why.
        source: HarnessError,
    },
    /// A call failed.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// Why.
        source: ClientError,
    },
    /// A file can't be written or read, or a process can't be started.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
        what: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The run did not reach the regime that it is to measure.
    #[snafu(display("the run did not reach its regime: {what}"))]
    WrongRegime {
        /// What was missing.
        what: String,
    },
    /// A plot could not be drawn.
    #[snafu(display("the plot could not be drawn: {what}"))]
    Plot {
        /// What the plotting library said.
        what: String,
    },
}
