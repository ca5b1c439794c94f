use std::ops::{Add, Sub};
use std::time::Duration;

/// Reading of a process's monotonic clock, in microseconds since its start.
///
/// > **Caution:** moments of two processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// Returns the moment `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the moment `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time that has passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}
