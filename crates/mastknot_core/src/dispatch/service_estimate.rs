use std::time::Duration;

/// Weight of a new run time in the moving mean.
const SMOOTHING_FACTOR: f64 = 0.02;

/// Moving mean of the time for which a task of a service occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimate {
    mean_micros: f64,
}

impl ServiceEstimate {
    /// Returns an estimate that starts at the typical time configured by the operators.
    pub fn new(typical: Duration) -> Self {
        Self {
            mean_micros: typical.as_micros() as f64,
        }
    }

    /// Adds one measured run time to the mean.
    pub fn record(&mut self, run: Duration) {
        let run = run.as_micros() as f64;
        self.mean_micros += SMOOTHING_FACTOR * (run - self.mean_micros);
    }

    /// Returns the estimated run time of one task.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_micros.max(1.0) as u64)
    }
}
