use std::time::Duration;

/// Durations of the single-holder protocol.
///
/// `docs/design/submissions.md` gives the argument that depends on them.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time for which an authority lasts, counted from the moment at which it was requested.
    pub authority: Duration,
    /// Interval between renewals of the authority.
    pub renew_interval: Duration,
    /// Time without an answer from the store after which the peers are asked.
    pub store_timeout: Duration,
    /// Time without a message after which a member is removed from the roster.
    pub silence: Duration,
    /// Maximum lifetime of a credit on any side.
    pub credit_lifetime: Duration,
    /// Maximum difference in speed between two monotonic clocks, in percent.
    pub clock_drift_percent: u32,
    /// Maximum difference between two wall clocks.
    pub max_clock_skew: Duration,
    /// Maximum age of a key; older keys are refused by all entries.
    pub max_key_age: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            authority: Duration::from_millis(1_000),
            renew_interval: Duration::from_millis(300),
            store_timeout: Duration::from_millis(150),
            silence: Duration::from_millis(1_500),
            credit_lifetime: Duration::from_millis(1_500),
            clock_drift_percent: 2,
            max_clock_skew: Duration::from_millis(500),
            max_key_age: Duration::from_secs(600),
        }
    }
}

impl MembershipSettings {
    /// Returns how long an earlier holder may still be at work after a new version was learned.
    pub fn takeover_wait(&self) -> Duration {
        let wait = self.authority + self.credit_lifetime;
        wait + wait * self.clock_drift_percent / 100
    }
}
