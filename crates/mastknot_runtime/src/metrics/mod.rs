//! Metrics: counters for StatsD through `cadence`, and registries in Prometheus text format.

mod latency;
mod loop_delay;
mod text;

pub use latency::latency_histogram;
pub use loop_delay::LoopDelay;
pub use text::{counters_text, registry_text};

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use serde_json::Value;

/// Sends the growth of counters between two exports to a StatsD server.
pub struct MetricsExporter {
    client: StatsdClient,
    last: BTreeMap<String, u64>,
}

impl MetricsExporter {
    /// Creates an exporter to a StatsD address. Without an address, nothing is sent.
    ///
    /// Fails if the socket can't be opened.
    pub fn new(prefix: &str, address: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink(prefix, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            client,
            last: BTreeMap::new(),
        })
    }

    /// Sends the growth of each counter since the last call.
    pub fn export(&mut self, counters: BTreeMap<String, u64>) {
        for (name, value) in &counters {
            let before = self.last.get(name).copied().unwrap_or(0);
            let growth = value.saturating_sub(before);
            if growth > 0 {
                // A packet that can't be sent is lost, but the counters over HTTP still include it.
                let _ = self.client.count(name, growth as i64);
            }
        }
        self.last = counters;
    }
}

/// Returns the non-negative integers in a JSON object by their path, such as `dispatch.starts`.
pub fn flatten_counters(value: &Value) -> BTreeMap<String, u64> {
    let mut flat = BTreeMap::new();
    flatten_into("", value, &mut flat);
    flat
}

fn flatten_into(path: &str, value: &Value, flat: &mut BTreeMap<String, u64>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let below = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten_into(&below, field, flat);
            }
        }
        Value::Number(number) => {
            if let Some(number) = number.as_u64() {
                flat.insert(path.to_owned(), number);
            }
        }
        _ => {}
    }
}
