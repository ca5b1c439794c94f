use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of a call to the store: its kind and its result.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}

/// Counts calls to the store by kind and result, because each call has a cost.
#[derive(Clone, Debug, Default)]
pub struct StoreCallCounts {
    calls: Arc<Family<CallLabels, Counter>>,
}

impl StoreCallCounts {
    /// Records a call.
    pub fn record(&self, call: &'static str, result: &'static str) {
        self.calls.get_or_create(&CallLabels { call, result }).inc();
    }

    /// Registers the counter.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Calls to the store by kind and result";
        registry.register("mastknot_store_calls", help, (*self.calls).clone());
    }
}
