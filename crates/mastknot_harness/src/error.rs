//! What can go wrong when a system starts.

use mastknot_client::ClientError;
use mastknot_runtime::NodeError;
use mastknot_standin::StandInError;
use snafu::Snafu;

/// Why a system did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HarnessError {
    /// A stand-in did not start.
    #[snafu(display("{source}"), context(false))]
    StandIn {
        /// Why.
        source: StandInError,
    },
    /// An entry or a side did not start.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// Why.
        source: NodeError,
    },
    /// A call to an entry failed.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// Why.
        source: ClientError,
    },
    /// A resource was not accepted.
    #[snafu(display("{kind}/{name} was not accepted: {problem}"))]
    NotAccepted {
        /// The resource's kind.
        kind: String,
        /// The resource's name.
        name: String,
        /// What the entry said.
        problem: String,
    },
    /// The system did not settle in time.
    #[snafu(display("the system did not settle: {what}"))]
    NotSettled {
        /// What was waited for.
        what: String,
    },
}
