use std::time::Duration;

use serde::Serialize;

/// Time above which a confirmation counts as late: half of an entry's lease of 350 ms.
const LATE: Duration = Duration::from_millis(175);

/// Statistics of the times that entries took to confirm reports of a side.
///
/// A time includes both directions of the link and any delay of the messages at either end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfirmTimes {
    /// Number of confirmations.
    pub confirmations: u64,
    /// Number of confirmations that took more than half of the lease.
    pub late: u64,
    /// Longest time until a confirmation, in milliseconds.
    pub longest_ms: u64,
}

impl ConfirmTimes {
    pub(super) fn record(&mut self, took: Duration) {
        self.confirmations += 1;
        self.late += u64::from(took > LATE);
        self.longest_ms = self.longest_ms.max(took.as_millis() as u64);
    }
}
