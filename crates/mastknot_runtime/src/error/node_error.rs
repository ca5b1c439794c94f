use crate::SettingsError;
use snafu::Snafu;

/// Why an entry or a side did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum NodeError {
    /// The settings are not allowed.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// A listener can't be bound.
    #[snafu(display("`{key}`: cannot listen at {address}: {source}"))]
    Listen {
        /// The settings key of the address.
        key: String,
        /// The address.
        address: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// Something of the operating system is missing.
    #[snafu(display("cannot start {part}: {source}"))]
    Start {
        /// What could not start.
        part: String,
        /// What the operating system said.
        source: std::io::Error,
    },
}
