use std::time::Duration;

use crate::types::Moment;

/// What is older than this counts little: targets are full of other work by then.
const OVER: Duration = Duration::from_millis(500);
/// What was said counts as seen for so long, before more is known.
const BELIEVED_FOR: Duration = Duration::from_millis(100);
/// Targets are packed to this part at least, whatever the tasks: less than it only shows that too little waited to take all
/// of the room.
const LEAST: f64 = 0.7;
/// Guesses of run times are off by no more than this as a rule.
const MOST: f64 = 1.5;

/// What an entry has got of the room that it was said to get while its tasks waited.
///
/// It takes in what the load does not tell: packing, room held by long tasks, needs that reports are late with.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObtainedCapacity {
    at: Moment,
    /// What it is said to get now, in thousandths of a core; none while nothing waits.
    said_rate: Option<f64>,
    /// Faded sums, in thousandths of a core times milliseconds.
    said: f64,
    had: f64,
}

impl ObtainedCapacity {
    /// What the entry is said to get from now on; none while nothing waits.
    pub(crate) fn set_expected_rate(&mut self, now: Moment, rate: Option<f64>) {
        self.advance(now);
        self.said_rate = rate;
    }

    /// Work was placed.
    pub(crate) fn record(&mut self, work: u64) {
        if self.said_rate.is_some() {
            self.had += work as f64;
        }
    }

    /// Placed work was turned away.
    pub(crate) fn subtract(&mut self, work: u64) {
        if self.said_rate.is_some() {
            self.had = (self.had - work as f64).max(0.0);
        }
    }

    /// What was got, against what was said.
    pub(crate) fn ratio(&self) -> f64 {
        let believed = self.said_rate.unwrap_or_default() * millis(BELIEVED_FOR);
        let said = self.said + believed;
        match said > 0.0 {
            true => ((self.had + believed) / said).clamp(LEAST, MOST),
            false => 1.0,
        }
    }

    fn advance(&mut self, now: Moment) {
        let passed = now.since(self.at);
        self.at = now;
        // Pauses without waiting tasks tell nothing, so nothing fades in them.
        let Some(rate) = self.said_rate else {
            return;
        };
        let left = (-passed.as_secs_f64() / OVER.as_secs_f64()).exp();
        self.said = self.said * left + rate * millis(passed);
        self.had *= left;
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
