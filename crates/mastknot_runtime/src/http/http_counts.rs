use std::sync::Arc;

use log::warn;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
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
    /// The body of a request is longer than allowed.
    BodyTooLong,
    /// The body of a request did not become whole in time.
    BodyTooSlow,
    /// The connection had to make room for others: it held the most for the longest time without a whole request.
    RoomForOthers,
    /// A request that had arrived found no memory, and nothing could make room for it.
    NoMemory,
    /// A connection found no place, and nothing could make room for it.
    NoPlace,
}

impl CloseReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadTooLong => "head_too_long",
            Self::HeadTooSlow => "head_too_slow",
            Self::Idle => "idle",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTooSlow => "body_too_slow",
            Self::RoomForOthers => "room_for_others",
            Self::NoMemory => "no_memory",
            Self::NoPlace => "no_place",
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

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ListenerLabels {
    listener: &'static str,
}

/// Counts of the connections of listeners, of what they hold, and of those that were refused or closed, by reason.
///
/// Callers may repeat what is refused without end, so only the first, second, fourth, eighth and so on of each reason
/// are logged.
#[derive(Clone, Debug, Default)]
pub struct HttpCounts {
    listener: &'static str,
    closed: Arc<Family<ReasonLabels, Counter>>,
    connections: Arc<Family<ListenerLabels, Gauge>>,
    held_bytes: Arc<Family<ListenerLabels, Gauge>>,
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

    /// Records how many connections are open and how many bytes they are charged with.
    pub(super) fn record_held(&self, connections: usize, bytes: usize) {
        let labels = self.listener_labels();
        let open = self.connections.get_or_create(&labels);
        open.set(connections as i64);
        let held = self.held_bytes.get_or_create(&labels);
        held.set(bytes as i64);
    }

    /// Returns the number of open connections of the listener.
    pub fn open_connections(&self) -> usize {
        let open = self.connections.get_or_create(&self.listener_labels());
        open.get() as usize
    }

    /// Returns how many bytes the connections of the listener are charged with.
    pub fn held_bytes(&self) -> usize {
        let held = self.held_bytes.get_or_create(&self.listener_labels());
        held.get() as usize
    }

    /// Returns how often a reason was recorded.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.closed.get_or_create(&self.reason_labels(reason)).get()
    }

    /// Registers the counts.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Requests refused and connections closed by the limits of a listener, by reason";
        registry.register("mastknot_http_closed", help, (*self.closed).clone());
        let help = "Open connections of a listener";
        let connections = (*self.connections).clone();
        registry.register("mastknot_http_connections", help, connections);
        let help = "Bytes that the connections of a listener are charged with";
        let held = (*self.held_bytes).clone();
        registry.register("mastknot_http_held_bytes", help, held);
    }

    fn listener_labels(&self) -> ListenerLabels {
        ListenerLabels {
            listener: self.listener,
        }
    }

    fn reason_labels(&self, reason: CloseReason) -> ReasonLabels {
        ReasonLabels {
            listener: self.listener,
            reason: reason.name(),
        }
    }
}
