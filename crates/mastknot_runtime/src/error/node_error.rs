use crate::SettingsError;
use snafu::Snafu;

/// Reasons why an entry or a side did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum NodeError {
    /// The settings are invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Invalid setting.
        source: SettingsError,
    },
    /// A listener could not be bound.
    #[snafu(display("`{key}`: cannot listen at {address}: {source}"))]
    Listen {
        /// Settings key of the address.
        key: String,
        /// Address that could not be bound.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The operating system refused a resource that a part of the process needs.
    #[snafu(display("cannot start {part}: {source}"))]
    Start {
        /// Part of the process that could not start.
        part: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
