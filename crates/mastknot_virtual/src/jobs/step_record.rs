use std::time::Duration;

/// Number of calls of the cores of one role, and the real time that the calls took.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepRecord {
    /// Number of calls.
    pub steps: u64,
    /// Total time of the calls.
    pub time: Duration,
}

impl StepRecord {
    pub(super) fn record(&mut self, time: Duration) {
        self.steps += 1;
        self.time += time;
    }

    /// Returns the calls since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            steps: self.steps - earlier.steps,
            time: self.time - earlier.time,
        }
    }
}
