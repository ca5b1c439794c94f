//! Clocks that the processes read on behalf of the cores, which read no clock themselves.

mod suspension;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mastknot_core::types::{Incarnation, Moment, Now, WallTime};
use tokio::time::Instant;

pub use suspension::suspended_so_far;

/// Shortest measured suspension that is not treated as noise. A suspension is measured as the difference of two
/// clocks, which are read one after the other, so that their readings differ by some microseconds at any time.
const READING_NOISE: Duration = Duration::from_millis(1);

/// The clocks of a process: tokio's clock, which tests can pause, and the time for which the VM was suspended.
///
/// Timers belong to tokio and stop while the VM is suspended. Leases and deadlines are compared with moments of this
/// clock, which include suspensions. A process that resumes therefore finds expired every lease and deadline that
/// ended during the suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start: u64,
    /// Returns how long the VM has been suspended so far.
    suspended: fn() -> Duration,
    suspended_at_start: Duration,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        Self::with_suspension(suspended_so_far)
    }

    /// Starts a clock that calls `suspended` for the total time for which the VM has been suspended so far.
    #[expect(
        clippy::disallowed_methods,
        reason = "all other code reads the clocks through this type"
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

    /// Returns the current time of the monotonic clock and of the wall clock.
    pub fn now(&self) -> Now {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            monotonic: self.monotonic(),
            wall: WallTime::from_millis(since_epoch.unwrap_or_default().as_millis() as u64),
        }
    }

    /// Returns the current time of the monotonic clock, which includes the time for which the VM was suspended.
    pub fn monotonic(&self) -> Moment {
        let passed = self.start.elapsed() + self.suspended();
        Moment::from_micros(passed.as_micros() as u64)
    }

    /// Converts a moment to the tokio instant until which a timer has to sleep.
    pub fn instant(&self, at: Moment) -> Instant {
        let since_start = at.since(Moment::default());
        self.start + since_start.saturating_sub(self.suspended())
    }

    /// Returns the incarnation of this process, which is the wall time of its start.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall_at_start)
    }

    /// Returns how long the VM has been suspended since the clock was started.
    fn suspended(&self) -> Duration {
        let suspended = (self.suspended)().saturating_sub(self.suspended_at_start);
        match suspended < READING_NOISE {
            true => Duration::ZERO,
            false => suspended,
        }
    }
}
