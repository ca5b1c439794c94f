use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new error in the running mean.
const WEIGHT: f64 = 1.0 / 32.0;
/// Maximum number of queues that are kept.
const MAX_QUEUES: usize = 1_024;

/// Errors of the forecast per queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForecastErrors {
    /// Mean absolute error of each queue, in seconds.
    queues: HashMap<Arc<str>, f64>,
}

impl ForecastErrors {
    /// Records the forecast and the actual wait of a job.
    pub(crate) fn record(&mut self, queue: &Arc<str>, forecast: Duration, actual: Duration) {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let error = forecast.abs_diff(actual).as_secs_f64();
        let mean = self.queues.entry(Arc::clone(queue)).or_insert(error);
        *mean += (error - *mean) * WEIGHT;
    }

    /// Returns the mean absolute error of a queue.
    pub(crate) fn mean(&self, queue: &str) -> Duration {
        let mean = self.queues.get(queue).copied().unwrap_or_default();
        Duration::from_secs_f64(mean)
    }
}
