use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of an event of the document of learned priors: the event and its cause.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ProfileLabels {
    event: &'static str,
    cause: &'static str,
}

/// Counts reads and writes of the document of learned priors, by result and cause.
#[derive(Clone, Debug, Default)]
pub struct ProfileCounts {
    events: Arc<Family<ProfileLabels, Counter>>,
}

impl ProfileCounts {
    /// Records an event. `cause` is empty for events that have only one.
    pub fn record(&self, event: &'static str, cause: &'static str) {
        let labels = ProfileLabels { event, cause };
        self.events.get_or_create(&labels).inc();
    }

    /// Returns how often an event with a cause was recorded.
    pub fn count(&self, event: &'static str, cause: &'static str) -> u64 {
        let labels = ProfileLabels { event, cause };
        self.events.get_or_create(&labels).get()
    }

    /// Registers the counter.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Reads and writes of what was learned, by what became of them";
        registry.register("mastknot_profile", help, (*self.events).clone());
    }
}
