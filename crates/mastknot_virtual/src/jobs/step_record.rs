use std::time::Duration;

/// How often the cores of one kind were called, and the processor time that this took, in real time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepRecord {
    /// Calls.
    pub steps: u64,
    /// Time in the calls.
    pub time: Duration,
}

impl StepRecord {
    pub(super) fn note(&mut self, time: Duration) {
        self.steps += 1;
        self.time += time;
    }

    /// What came after an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            steps: self.steps - earlier.steps,
            time: self.time - earlier.time,
        }
    }
}
