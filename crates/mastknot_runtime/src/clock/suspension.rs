use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns how long the VM has been suspended since it was booted, accurate to some microseconds. Returns zero if the
/// clocks can't be read.
///
/// The time is the difference between the boot-time clock, which includes suspensions, and the monotonic clock, which
/// does not.
pub fn suspended_so_far() -> Duration {
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC);
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
    match (monotonic, boot) {
        (Ok(monotonic), Ok(boot)) => Duration::from(boot).saturating_sub(Duration::from(monotonic)),
        // Both clocks exist since Linux 2.6.39. Without them, suspensions can't be detected.
        _ => Duration::ZERO,
    }
}
