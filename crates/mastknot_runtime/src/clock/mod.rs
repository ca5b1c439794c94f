//! The clocks that the shells read for the cores.

use std::time::{SystemTime, UNIX_EPOCH};

use mastknot_core::types::{Incarnation, Moment, Now, WallTime};
use tokio::time::Instant;

/// A process's clocks; tokio's clock, so that tests can pause it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start: u64,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            wall_at_start: since_epoch.unwrap_or_default().as_millis() as u64,
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

    /// The monotonic clock now.
    pub fn monotonic(&self) -> Moment {
        Moment::from_micros(self.start.elapsed().as_micros() as u64)
    }

    /// The tokio instant of a moment, for sleeping until it.
    pub fn instant(&self, at: Moment) -> Instant {
        self.start + at.since(Moment::default())
    }

    /// This run of the process: the wall clock at its start.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall_at_start)
    }
}
