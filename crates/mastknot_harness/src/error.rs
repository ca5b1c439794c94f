//! Errors of starting and configuring a system.

use mastknot_client::ClientError;
use mastknot_runtime::NodeError;
use mastknot_standin::StandInError;
use snafu::Snafu;

/// Error of starting or configuring a system.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HarnessError {
    /// A stand-in did not start.
    #[snafu(display("{source}"), context(false))]
    StandIn {
        /// Underlying error.
        source: StandInError,
    },
    /// An entry or a side did not start.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// Underlying error.
        source: NodeError,
    },
    /// A call to an entry failed.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// Underlying error.
        source: ClientError,
    },
    /// An entry refused to write a resource.
    #[snafu(display("{kind}/{name} was not accepted: {problem}"))]
    NotAccepted {
        /// Kind of the resource.
        kind: String,
        /// Name of the resource.
        name: String,
        /// Body of the answer of the entry.
        problem: String,
    },
    /// The system did not reach the expected state in time.
    #[snafu(display("the system did not settle in time: {state}"))]
    NotSettled {
        /// Last state that was observed.
        state: String,
    },
}
