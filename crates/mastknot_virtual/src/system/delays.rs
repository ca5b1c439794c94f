use std::time::Duration;

use mastknot_core::types::Hall;

/// Delivery times of messages.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Delay in one direction within a hall.
    pub within_hall: Duration,
    /// Delay in one direction between two halls.
    pub between_halls: Duration,
    /// Delay in one direction between a caller and an entry.
    pub to_callers: Duration,
    /// Time of a call to the store, both directions included.
    pub store: Duration,
}

impl Delays {
    /// Delays between Kalahari's halls.
    pub const KALAHARI: Self = Self {
        within_hall: Duration::from_micros(100),
        between_halls: Duration::from_millis(1),
        to_callers: Duration::from_millis(3),
        store: Duration::from_millis(3),
    };

    /// Delays between the halls of the co-op.
    pub const CO_OP: Self = Self {
        within_hall: Duration::from_micros(100),
        between_halls: Duration::from_micros(1_500),
        to_callers: Duration::from_millis(3),
        store: Duration::from_millis(3),
    };

    /// Returns the delay in one direction between two halls.
    pub fn between(&self, a: &Hall, b: &Hall) -> Duration {
        if a == b {
            self.within_hall
        } else {
            self.between_halls
        }
    }
}
