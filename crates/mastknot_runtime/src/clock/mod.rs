//! The clocks that the shells read for the cores.

mod suspension;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mastknot_core::types::{Incarnation, Moment, Now, WallTime};
use tokio::time::Instant;

pub use suspension::suspended_so_far;

/// Readings of the two clocks that tell a suspension differ by some microseconds at any time.
const READING_NOISE: Duration = Duration::from_millis(1);

/// A process's clocks; tokio's clock, so that tests can pause it, and the time for which the VM was suspended.
///
/// Timers are tokio's and stand still while the VM is suspended. What they guard is judged by moments, which go on: a
/// process that wakes finds leases and deadlines over that have passed meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start: u64,
    /// Tells how long the VM has been suspended so far.
    suspended: fn() -> Duration,
    suspended_at_start: Duration,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        Self::with_suspension(suspended_so_far)
    }

    /// Starts a clock to which `suspended` tells how long the VM has been suspended so far.
    #[expect(
        clippy::disallowed_methods,
        reason = "it is the clock that all others read"
    )]
    pub fn with_suspension(suspended: fn() -> Duration) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            wall_at_start: since_epoch.unwrap_or_default().as_millis() as u64,
            suspended,
            suspended_at_start: suspended(),
        }
    }

    /// Both clocks now.
    pub fn now(&self) -> Now {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            monotonic: self.monotonic(),
            wall: WallTime::from_millis(since_epoch.unwrap_or_default().as_millis() as u64),
        }
    }

    /// The monotonic clock now; it counts the time for which the VM was suspended.
    pub fn monotonic(&self) -> Moment {
        let passed = self.start.elapsed() + self.suspended();
        Moment::from_micros(passed.as_micros() as u64)
    }

    /// The tokio instant of a moment, for sleeping until it.
    pub fn instant(&self, at: Moment) -> Instant {
        let since_start = at.since(Moment::default());
        self.start + since_start.saturating_sub(self.suspended())
    }

    /// This run of the process: the wall clock at its start.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall_at_start)
    }

    /// How long the VM has been suspended since the start.
    fn suspended(&self) -> Duration {
        let suspended = (self.suspended)().saturating_sub(self.suspended_at_start);
        match suspended < READING_NOISE {
            true => Duration::ZERO,
            false => suspended,
        }
    }
}
