use std::time::Duration;

use crate::types::Moment;

/// A crash is known to the moment if the target was alive so short a time before the first sign of it.
const KNOWN_WITHIN: Duration = Duration::from_millis(10);

/// When a target crashed, as far as its side knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CrashTime {
    /// The moment until which the target is known to have lived.
    pub(crate) at: Moment,
    /// Whether it died then; if not, some time later.
    pub(crate) is_known: bool,
}

/// The signs since a target's last answer that it is gone.
///
/// A refused connection and a broken one say that the target is dead; a call that gets no answer says nothing of when
/// it died.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContactLoss {
    /// The first broken connection: the target held it until then.
    broken: Option<Moment>,
    /// The first refused connection.
    refused: Option<Moment>,
    has_timed_out: bool,
}

impl ContactLoss {
    /// A connection that had stood broke now.
    pub(crate) fn note_broken(&mut self, now: Moment) {
        self.broken.get_or_insert(now);
    }

    /// A connection was refused now.
    pub(crate) fn note_refused(&mut self, now: Moment) {
        self.refused.get_or_insert(now);
    }

    /// Whether nothing has listened at the target's address.
    pub(crate) fn is_refused(&self) -> bool {
        self.refused.is_some()
    }

    /// A call got no answer within its limit.
    pub(crate) fn note_timeout(&mut self) {
        self.has_timed_out = true;
    }

    /// When a target crashed that was last heard at this time and is known to be dead now.
    pub(crate) fn crash_time(&self, heard: Moment, now: Moment) -> CrashTime {
        if self.has_timed_out {
            return Self::unknown_after(heard);
        }
        if let Some(broken) = self.broken {
            return CrashTime {
                at: broken,
                is_known: true,
            };
        }
        let dead = self.refused.unwrap_or(now);
        if dead.since(heard) > KNOWN_WITHIN {
            return Self::unknown_after(heard);
        }
        CrashTime {
            at: dead,
            is_known: true,
        }
    }

    fn unknown_after(heard: Moment) -> CrashTime {
        CrashTime {
            at: heard,
            is_known: false,
        }
    }
}
