use std::time::Duration;

use mastknot_core::types::Hall;

/// How long messages take.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// One way within a hall.
    pub within_hall: Duration,
    /// One way between halls.
    pub between_halls: Duration,
    /// One way between a caller and an entry.
    pub to_callers: Duration,
    /// A call to the store, there and back.
    pub store: Duration,
}

impl Delays {
    /// Kalahari's halls.
    pub const KALAHARI: Self = Self {
        within_hall: Duration::from_micros(100),
        between_halls: Duration::from_millis(1),
        to_callers: Duration::from_millis(3),
        store: Duration::from_millis(3),
    };

    /// The co-op's halls.
    pub const CO_OP: Self = Self {
        within_hall: Duration::from_micros(100),
        between_halls: Duration::from_micros(1_500),
        to_callers: Duration::from_millis(3),
        store: Duration::from_millis(3),
    };

    /// One way between two halls.
    pub fn between(&self, a: &Hall, b: &Hall) -> Duration {
        if a == b {
            self.within_hall
        } else {
            self.between_halls
        }
    }
}
