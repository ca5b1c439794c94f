use crate::types::WallTime;

/// Step of the attempt numbers, in milliseconds: the clock since 2020 is counted in these steps.
const STEP_MS: u64 = 4;
/// Start of the year 2020, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_577_836_800_000;

/// Generator of attempt numbers that rise across all entries without being stored.
///
/// A job that is submitted again through another entry must get higher numbers than its earlier
/// submission, or a target refuses them as old. The first number is therefore taken from the wall
/// clock at the arrival of the job. When a target still refuses a number as old, the next number is
/// raised by the numbers of one minute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumbers {
    next: u64,
}

/// Amount by which the next number is raised after a target has refused one as old: the numbers
/// of one minute.
const RAISE_AFTER_OLD: u64 = 60_000 / STEP_MS;

impl AttemptNumbers {
    /// Returns the numbers of a job that arrived at `wall`.
    pub fn starting_at(wall: WallTime) -> Self {
        let since_epoch = wall.as_millis().saturating_sub(EPOCH_MS);
        Self {
            next: 1 + since_epoch / STEP_MS,
        }
    }

    /// Returns the next number and advances.
    pub fn take(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }

    /// Skips numbers that an earlier submission of the job may have used.
    pub fn raise(&mut self) {
        self.next += RAISE_AFTER_OLD;
    }
}
