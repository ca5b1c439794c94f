use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The weight of a new error against the mean so far.
const WEIGHT: f64 = 1.0 / 32.0;
/// The most queues that are kept.
const MAX_QUEUES: usize = 1_024;

/// By how much the forecast has been off, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForecastErrors {
    /// Mean absolute errors, in seconds.
    queues: HashMap<Arc<str>, f64>,
}

impl ForecastErrors {
    /// A job of a queue was to wait for `said` and has waited for `seen`.
    pub(crate) fn record(&mut self, queue: &Arc<str>, said: Duration, seen: Duration) {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let error = said.abs_diff(seen).as_secs_f64();
        let mean = self.queues.entry(Arc::clone(queue)).or_insert(error);
        *mean += (error - *mean) * WEIGHT;
    }

    /// The mean error of a queue, either way.
    pub(crate) fn mean(&self, queue: &str) -> Duration {
        let mean = self.queues.get(queue).copied().unwrap_or_default();
        Duration::from_secs_f64(mean)
    }
}
