//! Clock of a process whose VM is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mastknot_runtime::Clock;

/// Defines a function that reports a suspension of as many milliseconds as the static says. Each test has its own.
macro_rules! suspension {
    ($name:ident, $ms:ident) => {
        static $ms: AtomicU64 = AtomicU64::new(0);
        fn $name() -> Duration {
            Duration::from_millis($ms.load(Ordering::Relaxed))
        }
    };
}

suspension!(counted, COUNTED_MS);
suspension!(slept, SLEPT_MS);
suspension!(noisy, NOISY_MS);

fn ms(clock: &Clock) -> u64 {
    clock.monotonic().as_micros() / 1_000
}

/// With the monotonic clock of the system alone, a lease of a third of a second would outlive a suspension of three
/// seconds.
#[tokio::test(start_paused = true)]
async fn the_time_of_a_suspension_counts() {
    COUNTED_MS.store(5_000, Ordering::Relaxed);
    let clock = Clock::with_suspension(counted);
    assert_eq!(ms(&clock), 0, "what was before the start does not count");
    tokio::time::advance(Duration::from_millis(100)).await;
    assert_eq!(ms(&clock), 100);
    COUNTED_MS.store(8_000, Ordering::Relaxed);
    assert_eq!(ms(&clock), 3_100);
}

#[tokio::test(start_paused = true)]
async fn a_timer_that_is_set_after_a_suspension_goes_off_at_its_moment() {
    let clock = Clock::with_suspension(slept);
    SLEPT_MS.store(3_000, Ordering::Relaxed);
    let due = clock.monotonic() + Duration::from_millis(50);
    tokio::time::sleep_until(clock.instant(due)).await;
    assert!((3_050..=3_052).contains(&ms(&clock)), "{}", ms(&clock));
}

/// The two clocks that measure a suspension are read one after the other, so their readings differ slightly.
#[tokio::test(start_paused = true)]
async fn noise_of_the_readings_is_no_suspension() {
    NOISY_MS.store(1_000, Ordering::Relaxed);
    let clock = Clock::with_suspension(noisy);
    NOISY_MS.store(999, Ordering::Relaxed);
    assert_eq!(ms(&clock), 0);
    NOISY_MS.store(1_000, Ordering::Relaxed);
    assert_eq!(ms(&clock), 0);
}

#[test]
fn the_system_tells_a_suspension_that_does_not_change_by_itself() {
    let first = mastknot_runtime::suspended_so_far();
    let second = mastknot_runtime::suspended_so_far();
    assert!(first.abs_diff(second) < Duration::from_millis(5));
}
