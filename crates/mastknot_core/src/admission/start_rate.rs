use std::time::Duration;

use crate::types::Moment;

/// Length of one counting window.
const WINDOW: Duration = Duration::from_millis(500);
/// Minimum number of starts in a window from which a rate is computed.
const MIN_STARTS: u32 = 8;

/// Number of waiting tasks that an entry starts per second while it has a queue.
///
/// Starts without a wait are not counted, because they give no information about the capacity.
///
/// # Examples
///
/// ```
/// use mastknot_core::admission::StartRate;
/// use mastknot_core::types::Moment;
///
/// let mut rate = StartRate::default();
/// for millis in (0..1_100).step_by(10) {
///     rate.record(Moment::from_millis(millis), true);
/// }
/// let per_second = rate.per_second(Moment::from_millis(1_100)).unwrap();
/// assert!((95.0..=105.0).contains(&per_second));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StartRate {
    window_from: Moment,
    in_window: u32,
    last: Option<(Moment, f64)>,
}

impl StartRate {
    /// Counts one start if the task had to wait.
    pub fn record(&mut self, now: Moment, had_to_wait: bool) {
        if !had_to_wait {
            return;
        }
        let length = now.since(self.window_from);
        if length >= WINDOW {
            let is_one_busy_period = length < WINDOW * 2;
            if is_one_busy_period && self.in_window >= MIN_STARTS {
                let rate = f64::from(self.in_window) / length.as_secs_f64();
                self.last = Some((now, rate));
            }
            self.window_from = now;
            self.in_window = 0;
        }
        self.in_window += 1;
    }

    /// Returns the latest rate, or `None` if no rate was measured recently.
    pub fn per_second(&self, now: Moment) -> Option<f64> {
        self.last
            .filter(|(at, _)| now.since(*at) < WINDOW * 4)
            .map(|(_, rate)| rate)
    }
}
