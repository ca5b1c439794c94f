use std::time::Duration;

/// Interval between heartbeats on a standby link. No runs use such a link and version updates do
/// not wait for its heartbeat; it only shows that the other end is alive. The interval is long
/// because there are as many such links as pairs of entry and side.
const STANDBY_HEARTBEAT: Duration = Duration::from_secs(8);
/// Time without a message after which a standby link is given up: three heartbeats may be lost.
const STANDBY_SILENCE: Duration = Duration::from_secs(28);

/// Durations of the leases between entry, side and target.
///
/// A side's lease for an entry and the hold of a target both count from the moment at which the
/// side sent a report that the entry is known to have received. An entry knows when it last
/// received a report from a side, so it knows without an answer when all its runs on that side are
/// over: after `run_over_after`. See `docs/design/platform.md` for the calculation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time between two heartbeats of one link.
    pub heartbeat: Duration,
    /// Time from the last report that the entry confirmed until the side stops the entry's runs.
    pub entry_lease: Duration,
    /// Time for which a target keeps running after the last confirmed report.
    pub target_hold: Duration,
    /// Time without a message from a side after which all runs on it are over.
    pub run_over_after: Duration,
    /// Time without a message after which an entry gives up its link to a side.
    pub silence: Duration,
    /// Time between two heartbeats of a standby link.
    pub standby_heartbeat: Duration,
    /// Time without a message after which either end gives up a standby link.
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
    /// Returns whether every run is over before an entry assumes so, with clocks that differ by up
    /// to 2 percent and with `stop_time` as the time that stopping a run takes.
    pub fn are_safe(&self, stop_time: Duration) -> bool {
        let by_side = self.entry_lease.mul_f64(1.02) + stop_time;
        let by_target = self.target_hold.mul_f64(1.02);
        by_side < self.run_over_after && by_target < self.run_over_after
    }
}
