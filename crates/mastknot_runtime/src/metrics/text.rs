use std::fmt::Write;

use prometheus_client::encoding::text::encode_registry;
use prometheus_client::registry::Registry;
use serde::Serialize;

use super::flatten_counters;

/// Returns the metrics of a registry in Prometheus text format.
pub fn registry_text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string fails only if the encoding of a metric does.
    let _ = encode_registry(&mut text, registry);
    text
}

/// Returns the non-negative integers in a structure in Prometheus text format, named by their paths.
pub fn counters_text<T: Serialize>(counters: &T) -> String {
    let value = serde_json::to_value(counters).unwrap_or_default();
    let mut text = String::new();
    for (name, value) in flatten_counters(&value) {
        let name = name.replace('.', "_");
        let _ = writeln!(text, "mastknot_{name} {value}");
    }
    text
}
