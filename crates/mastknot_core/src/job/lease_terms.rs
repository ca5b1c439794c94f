use std::time::Duration;

/// Nothing runs over a link on standby and news of versions does not wait for its heartbeat: it only shows that the other
/// end lives, and there are as many such links as pairs of entry and side.
const STANDBY_HEARTBEAT: Duration = Duration::from_secs(8);
/// Three heartbeats may be lost.
const STANDBY_SILENCE: Duration = Duration::from_secs(28);

/// The times of the leases between entry, side and target.
///
/// A side's lease for an entry and the hold of a target both count from the moment at which the
/// side sent a report that the entry is known to have received. An entry knows when it last heard
/// from a side, so it knows without an answer when all that it runs there is over:
/// `run_over_after`. See `docs/design/platform.md` for the sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Between two heartbeats of one link.
    pub heartbeat: Duration,
    /// After this long without a newer report heard by an entry, its side stops its runs.
    pub entry_lease: Duration,
    /// For how long a target runs on after the last confirmed report.
    pub target_hold: Duration,
    /// After this long without a word from a side, its runs are over.
    pub run_over_after: Duration,
    /// After this long without a word, an entry gives up its link to a side.
    pub silence: Duration,
    /// Between two heartbeats of a link on standby.
    pub standby_heartbeat: Duration,
    /// After this long without a word, either end gives up a link on standby.
    pub standby_silence: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(80),
            entry_lease: Duration::from_millis(350),
            target_hold: Duration::from_millis(500),
            run_over_after: Duration::from_millis(600),
            silence: Duration::from_millis(350),
            standby_heartbeat: STANDBY_HEARTBEAT,
            standby_silence: STANDBY_SILENCE,
        }
    }
}

impl LeaseTerms {
    /// Whether every run is over before an entry believes so: clocks may differ by 2 percent, and
    /// stopping a run takes `stop_time`.
    pub fn are_safe(&self, stop_time: Duration) -> bool {
        let by_side = self.entry_lease.mul_f64(1.02) + stop_time;
        let by_target = self.target_hold.mul_f64(1.02);
        by_side < self.run_over_after && by_target < self.run_over_after
    }
}
