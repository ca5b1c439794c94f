use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// How long the VM has been suspended since it was booted, to within some microseconds; zero if the clocks can't be
/// read. The steady clock stands still meanwhile, the boot-time clock does not.
pub fn suspended_so_far() -> Duration {
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC);
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
    match (steady, boot) {
        (Ok(steady), Ok(boot)) => Duration::from(boot).saturating_sub(Duration::from(steady)),
        // Both exist since Linux 2.6.39: a system without them does not say when it was suspended.
        _ => Duration::ZERO,
    }
}
