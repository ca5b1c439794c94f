use std::time::Duration;

use crate::types::Moment;

/// Longest time between the last answer of a target and the first sign of its crash for which the
/// time of the crash counts as known.
const KNOWN_WITHIN: Duration = Duration::from_millis(10);

/// Time at which a target crashed, as far as its side can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CrashTime {
    /// Time until which the target is known to have been alive.
    pub(crate) at: Moment,
    /// Whether the target crashed at this time; if not, the target crashed at an unknown later
    /// time.
    pub(crate) is_known: bool,
}

/// Signs since the last answer of a target that the target has gone.
///
/// A refused or broken connection shows that the target has crashed. A call without an answer shows
/// nothing about the time of the crash.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContactLoss {
    /// Time at which a connection first broke; the target kept the connection open until then.
    broken: Option<Moment>,
    /// Time at which a connection was first refused.
    refused: Option<Moment>,
    has_timed_out: bool,
}

impl ContactLoss {
    /// Records that an established connection broke.
    pub(crate) fn record_broken(&mut self, now: Moment) {
        self.broken.get_or_insert(now);
    }

    /// Records that a connection was refused.
    pub(crate) fn record_refused(&mut self, now: Moment) {
        self.refused.get_or_insert(now);
    }

    /// Returns whether the target's address has refused a connection.
    pub(crate) fn is_refused(&self) -> bool {
        self.refused.is_some()
    }

    /// Records that a call got no answer within its timeout.
    pub(crate) fn record_timeout(&mut self) {
        self.has_timed_out = true;
    }

    /// Returns the crash time of a target that is now known to have crashed and that last answered
    /// at `last_answer`.
    pub(crate) fn crash_time(&self, last_answer: Moment, now: Moment) -> CrashTime {
        if self.has_timed_out {
            return Self::unknown_after(last_answer);
        }
        if let Some(broken) = self.broken {
            return CrashTime {
                at: broken,
                is_known: true,
            };
        }
        let dead = self.refused.unwrap_or(now);
        if dead.since(last_answer) > KNOWN_WITHIN {
            return Self::unknown_after(last_answer);
        }
        CrashTime {
            at: dead,
            is_known: true,
        }
    }

    fn unknown_after(last_answer: Moment) -> CrashTime {
        CrashTime {
            at: last_answer,
            is_known: false,
        }
    }
}
