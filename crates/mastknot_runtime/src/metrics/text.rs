use std::fmt::Write;

use prometheus_client::encoding::text::encode_registry;
use prometheus_client::registry::Registry;
use serde::Serialize;

use super::flatten_counters;

/// The figures of a registry in Prometheus' text form, without the closing line.
pub fn registry_text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a text fails only if a metric's own encoding does.
    let _ = encode_registry(&mut text, registry);
    text
}

/// The whole numbers of a structure in Prometheus' text form, named by their paths.
pub fn counters_text<T: Serialize>(counters: &T) -> String {
    let value = serde_json::to_value(counters).unwrap_or_default();
    let mut text = String::new();
    for (name, value) in flatten_counters(&value) {
        let name = name.replace('.', "_");
        let _ = writeln!(text, "mastknot_{name} {value}");
    }
    text
}
