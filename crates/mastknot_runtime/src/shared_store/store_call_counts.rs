use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// A call's kind and what became of it.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}

/// Counts calls to the store by their kind and result; each call has its price.
#[derive(Clone, Debug, Default)]
pub struct StoreCallCounts {
    calls: Arc<Family<CallLabels, Counter>>,
}

impl StoreCallCounts {
    /// Notes a call.
    pub fn note(&self, call: &'static str, result: &'static str) {
        self.calls.get_or_create(&CallLabels { call, result }).inc();
    }

    /// Makes the counts part of a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Calls to the store by kind and result";
        registry.register("mastknot_store_calls", help, (*self.calls).clone());
    }
}
