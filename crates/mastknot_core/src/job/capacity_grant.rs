use std::time::Duration;

use bincode::{Decode, Encode};

use super::Capacity;

/// Room that a side has given to one entry alone.
///
/// A start that fits into it is not turned away: the side keeps it until its own time for the grant is over, which is
/// longer than what the entry is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CapacityGrant {
    /// What the entry may start.
    pub capacity: Capacity,
    /// The part of it that is still taken and expected to come free soon: the side lets starts wait for it.
    pub ahead: Capacity,
    /// How long it may be used from when it is received, in milliseconds.
    pub valid_ms: u32,
}

impl CapacityGrant {
    /// How long it may be used from when it is received.
    pub fn valid(&self) -> Duration {
        Duration::from_millis(u64::from(self.valid_ms))
    }
}
