use std::time::Duration;

/// The times of the single-holder protocol.
///
/// `docs/design/submissions.md` gives the argument that needs them.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// How long an authority lasts after the moment at which it was asked for.
    pub authority: Duration,
    /// How often it is renewed.
    pub renew_interval: Duration,
    /// How long the store may take before the peers are asked.
    pub store_timeout: Duration,
    /// How long a member may be silent before it is voted out of the roster.
    pub silence: Duration,
    /// The longest life of a credit on any side.
    pub credit_lifetime: Duration,
    /// How much faster one monotonic clock may run than another, in percent.
    pub clock_drift_percent: u32,
    /// The most that two wall clocks differ.
    pub max_clock_skew: Duration,
    /// Keys older than this are refused everywhere.
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
    /// How long after a new version was learned an earlier holder may still be at work.
    pub fn takeover_wait(&self) -> Duration {
        let wait = self.authority + self.credit_lifetime;
        wait + wait * self.clock_drift_percent / 100
    }
}
