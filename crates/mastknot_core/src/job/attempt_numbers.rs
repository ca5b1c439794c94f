use crate::types::WallTime;

/// Attempt numbers count steps of this length, in milliseconds, since 2020.
const STEP_MS: u64 = 4;
/// The start of the year 2020, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_577_836_800_000;

/// Hands out attempt numbers that rise over all entries without being stored.
///
/// A job that comes again at another entry must get higher numbers than its earlier copy, or a
/// target refuses them as old. The wall clock at the job's arrival gives the first number. A target
/// that still calls a number old is answered with a number far above it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumbers {
    next: u64,
}

/// How far the next number is raised after a target has called one old.
const RAISE_AFTER_OLD: u64 = 60_000 / STEP_MS;

impl AttemptNumbers {
    /// The numbers of a job that arrived at `wall`.
    pub fn starting_at(wall: WallTime) -> Self {
        let since_epoch = wall.as_millis().saturating_sub(EPOCH_MS);
        Self {
            next: 1 + since_epoch / STEP_MS,
        }
    }

    /// The next number.
    pub fn take(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }

    /// Skips numbers that an earlier copy of the job may have used.
    pub fn raise(&mut self) {
        self.next += RAISE_AFTER_OLD;
    }
}
