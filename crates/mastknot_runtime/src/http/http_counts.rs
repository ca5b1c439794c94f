use std::sync::Arc;

use log::warn;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Reason why a server refused a request or closed a connection.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
pub enum CloseReason {
    /// The head of a request is longer than allowed.
    HeadTooLong,
    /// The head of a request did not become whole in time.
    HeadTooSlow,
    /// The connection rested for longer than allowed.
    Idle,
}

impl CloseReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadTooLong => "head_too_long",
            Self::HeadTooSlow => "head_too_slow",
            Self::Idle => "idle",
        }
    }

    /// Returns whether callers that behave meet this reason as well, so that it is counted and not logged.
    fn is_usual(self) -> bool {
        self == Self::Idle
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    listener: &'static str,
    reason: &'static str,
}

/// Counts of requests that were refused and connections that were closed, by listener and reason.
///
/// Callers may repeat what is refused without end, so only the first, second, fourth, eighth and so on of each reason
/// are logged.
#[derive(Clone, Debug, Default)]
pub struct HttpCounts {
    listener: &'static str,
    closed: Arc<Family<ReasonLabels, Counter>>,
}

impl HttpCounts {
    /// Returns the counts of a listener. They are registered with those that they are taken from.
    pub fn of_listener(&self, listener: &'static str) -> Self {
        Self {
            listener,
            ..self.clone()
        }
    }

    /// Records a request that was refused or a connection that was closed.
    pub(super) fn record(&self, reason: CloseReason) {
        let labels = self.reason_labels(reason);
        let count = self.closed.get_or_create(&labels).inc() + 1;
        if count.is_power_of_two() && !reason.is_usual() {
            let (listener, reason) = (self.listener, reason.name());
            warn!(listener, reason, count; "caller refused or connection closed");
        }
    }

    /// Returns how often a reason was recorded.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.closed.get_or_create(&self.reason_labels(reason)).get()
    }

    /// Registers the counts.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Requests refused and connections closed by the limits of a listener, by reason";
        registry.register("mastknot_http_closed", help, (*self.closed).clone());
    }

    fn reason_labels(&self, reason: CloseReason) -> ReasonLabels {
        ReasonLabels {
            listener: self.listener,
            reason: reason.name(),
        }
    }
}
