use std::time::Duration;

/// The weight of a new measurement.
const NEW_SHARE: f64 = 0.02;

/// A moving mean of how long a service's tasks hold a slot.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimate {
    mean_micros: f64,
}

impl ServiceEstimate {
    /// An estimate that starts at the operators' typical time.
    pub fn new(typical: Duration) -> Self {
        Self {
            mean_micros: typical.as_micros() as f64,
        }
    }

    /// Takes one measured run into account.
    pub fn record(&mut self, run: Duration) {
        let run = run.as_micros() as f64;
        self.mean_micros += NEW_SHARE * (run - self.mean_micros);
    }

    /// The estimated time of one task.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_micros.max(1.0) as u64)
    }
}
