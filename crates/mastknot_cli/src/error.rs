use mastknot_client::ClientError;
use mastknot_harness::HarnessError;
use mastknot_runtime::SettingsError;
use snafu::Snafu;

use crate::exit::Exit;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A call to an entry failed.
    #[snafu(display("{source}"), context(false))]
    Client { source: ClientError },
    /// A settings file is invalid.
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
    /// The system of the demo failed.
    #[snafu(display("{source}"), context(false))]
    Harness { source: HarnessError },
    /// A file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    ReadFile {
        file: String,
        source: std::io::Error,
    },
    /// A file is not valid JSON.
    #[snafu(display("{file}: {source}"))]
    ParseFile {
        file: String,
        source: serde_json::Error,
    },
    /// The output cannot be written.
    #[snafu(display("the output cannot be written: {source}"))]
    Output { source: std::io::Error },
    /// An entry refused the command.
    #[snafu(display("{problem}"))]
    Refused { exit: Exit, problem: String },
    /// A guarantee did not hold in a step of the demo.
    #[snafu(display("step {step:?} of the demo failed: {problem}"))]
    DemoStep { step: String, problem: String },
}

impl CliError {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Client { .. } | Self::Harness { .. } | Self::DemoStep { .. } => Exit::Unreachable,
            Self::Settings { .. }
            | Self::ReadFile { .. }
            | Self::ParseFile { .. }
            | Self::Output { .. } => Exit::NotAllowed,
            Self::Refused { exit, .. } => *exit,
        }
    }
}
