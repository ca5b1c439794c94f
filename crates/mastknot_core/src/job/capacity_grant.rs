use std::time::Duration;

use bincode::{Decode, Encode};

use super::Capacity;

/// Capacity that a side has granted to one entry exclusively.
///
/// A start that fits into the grant is not refused. The side keeps the capacity reserved until its
/// own time for the grant is over, which is longer than the time that the entry is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CapacityGrant {
    /// Capacity that the entry may use for starts.
    pub capacity: Capacity,
    /// Part of the granted capacity that is still in use and expected to become free soon. The side
    /// queues starts for it.
    pub ahead: Capacity,
    /// Time for which the grant may be used after its receipt, in milliseconds.
    pub valid_ms: u32,
}

impl CapacityGrant {
    /// Returns the time for which the grant may be used after its receipt.
    pub fn valid(&self) -> Duration {
        Duration::from_millis(u64::from(self.valid_ms))
    }
}
