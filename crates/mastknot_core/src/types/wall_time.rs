use std::time::Duration;

/// Reading of the wall clock, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// Returns the wall time `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns this time moved later by `by`.
    pub fn plus(self, by: Duration) -> Self {
        Self(self.0.saturating_add(by.as_millis() as u64))
    }

    /// Returns this time moved earlier by `by`.
    pub fn minus(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by.as_millis() as u64))
    }
}
