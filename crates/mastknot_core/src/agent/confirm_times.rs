use std::time::Duration;

use serde::Serialize;

/// A confirmation that takes longer than this used up half of the lease for an entry (350 ms).
const LATE: Duration = Duration::from_millis(175);

/// How long entries took to confirm a side's reports: both ways over the link, and whatever held the
/// messages up at either end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfirmTimes {
    /// Confirmations.
    pub confirmations: u64,
    /// Those that took more than half of the lease.
    pub late: u64,
    /// The longest one, in milliseconds.
    pub longest_ms: u64,
}

impl ConfirmTimes {
    pub(super) fn note(&mut self, took: Duration) {
        self.confirmations += 1;
        self.late += u64::from(took > LATE);
        self.longest_ms = self.longest_ms.max(took.as_millis() as u64);
    }
}
