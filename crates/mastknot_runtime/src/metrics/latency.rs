use prometheus_client::metrics::histogram::Histogram;

/// Upper bounds of the buckets of latency histograms, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Creates a histogram of latencies in seconds.
pub fn latency_histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}
