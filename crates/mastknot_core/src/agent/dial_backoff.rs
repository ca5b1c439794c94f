use std::time::Duration;

/// The first pause before an entry is dialed again.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause while dials fail: a failed dial costs an entry that is down nothing, and its return is noticed
/// soon.
const LONGEST_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// The longest pause after links that ended soon: greeting and settling a link cost more than it gave.
const LONGEST_AFTER_SHORT_LINK: Duration = Duration::from_secs(2);
/// A link that stood as long as this was worth its greeting.
const STEADY: Duration = Duration::from_secs(2);

/// How long a side waits before it dials an entry again, so that links that come and go under load do not add
/// to the load: each short link doubles the pause.
#[derive(Clone, Copy, Debug)]
pub struct DialBackoff {
    pause: Duration,
}

impl Default for DialBackoff {
    fn default() -> Self {
        Self { pause: FIRST_PAUSE }
    }
}

impl DialBackoff {
    /// The pause after a dial that made no link. `jitter` is a random number from 0.5 to 1.5.
    pub fn after_failure(&mut self, jitter: f64) -> Duration {
        let pause = self.pause;
        let longest = LONGEST_AFTER_FAILURE.max(pause);
        self.pause = (pause * 2).min(longest);
        pause.mul_f64(jitter)
    }

    /// The pause after a link that stood for so long. `jitter` is a random number from 0.5 to 1.5.
    pub fn after_link(&mut self, stood: Duration, jitter: f64) -> Duration {
        if stood >= STEADY {
            self.pause = FIRST_PAUSE;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_AFTER_SHORT_LINK);
        pause.mul_f64(jitter)
    }
}
