use std::time::Duration;

/// Initial pause before an entry is dialed again.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Upper bound of the pause while dials fail. A failed dial costs an unavailable entry nothing, and
/// its return is noticed soon.
const MAX_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// Upper bound of the pause after short links, for which the handshake and the settling of runs
/// cost more than the link saved.
const MAX_AFTER_SHORT_LINK: Duration = Duration::from_secs(2);
/// Lifetime from which a link is long enough to justify its handshake.
const MIN_STEADY_LINK: Duration = Duration::from_secs(2);

/// Backoff of a side between dials of one entry.
///
/// Each short link doubles the pause, so that links which break under load do not add to the load.
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
    /// Returns the pause after a dial that established no link. `jitter` is a random factor from
    /// 0.5 to 1.5.
    pub fn after_failure(&mut self, jitter: f64) -> Duration {
        let pause = self.pause;
        let max_pause = MAX_AFTER_FAILURE.max(pause);
        self.pause = (pause * 2).min(max_pause);
        pause.mul_f64(jitter)
    }

    /// Returns the pause after a link that was open for `open_for`. `jitter` is a random factor from
    /// 0.5 to 1.5.
    pub fn after_link(&mut self, open_for: Duration, jitter: f64) -> Duration {
        if open_for >= MIN_STEADY_LINK {
            self.pause = FIRST_PAUSE;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_AFTER_SHORT_LINK);
        pause.mul_f64(jitter)
    }
}
