use std::time::Duration;

use crate::job::TargetProfile;
use crate::types::Moment;

/// What is known of the target and of its clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetLink {
    /// What the target said of itself, or what an entry remembers.
    pub(crate) profile: Option<TargetProfile>,
    /// Whether this life of it has reported to this process.
    pub(crate) has_reported: bool,
    /// Whether a life of it has ended: what is remembered is of no use any more.
    pub(crate) has_lost_instance: bool,
    /// Whether it is leaving.
    pub(crate) is_draining: bool,
    /// Until when it is slower than usual.
    pub(crate) cold_until: Moment,
    /// The fencing token, once the target's clock has been read.
    pub(crate) token: Option<u64>,
    /// The highest end that has been noted.
    pub(crate) last_seen: u64,
    /// Looks that failed in a row.
    pub(crate) failed_looks: u32,
    /// The last time anything was heard.
    pub(crate) heard: Moment,
    /// Whether runs of an earlier life have been listed, or there can't be any.
    pub(crate) is_settled: bool,
    clock: Option<ClockReading>,
    /// The latest hold that was sent, on the target's clock.
    longest_hold_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ClockReading {
    at: Moment,
    clock_ms: u64,
}

/// A target's clock may be slow by this factor.
const SLOW_CLOCK: f64 = 1.03;
/// A target's clock is read again after this time: by then it may be 60 ms off, the part of a hold that is lost to
/// caution. After 40 s without a reading holds are up to 0.8 s too long (worked out), and runs outlive their side by that.
const CLOCK_READ_EACH: Duration = Duration::from_secs(2);
/// Without a reading for this long nothing is started: the process or its VM stood still.
const CLOCK_STALE: Duration = Duration::from_secs(3);

impl TargetLink {
    /// Takes a reading of the target's clock.
    pub(crate) fn read_clock(&mut self, now: Moment, clock_ms: u64) {
        self.heard = now;
        self.failed_looks = 0;
        self.clock = Some(ClockReading { at: now, clock_ms });
    }

    /// What the target's clock shows at least at a moment of this process: a hold that is asked for by it is never too
    /// long.
    pub(crate) fn clock_at(&self, moment: Moment) -> Option<u64> {
        let reading = self.clock?;
        if moment >= reading.at {
            let passed = moment.since(reading.at).div_f64(SLOW_CLOCK);
            return Some(reading.clock_ms + passed.as_millis() as u64);
        }
        let before = reading.at.since(moment).as_millis() as u64;
        Some(reading.clock_ms.saturating_sub(before))
    }

    /// When the target's clock is to be read again; none if it was never read.
    pub(crate) fn clock_due(&self) -> Option<Moment> {
        self.clock.map(|reading| reading.at + CLOCK_READ_EACH)
    }

    /// Whether too much time has passed since the target's clock was read.
    pub(crate) fn is_clock_stale(&self, now: Moment) -> bool {
        let reading = self.clock;
        reading.is_none_or(|reading| now.since(reading.at) > CLOCK_STALE)
    }

    /// Notes that the target was told to hold its runs until this time on its clock.
    pub(crate) fn note_hold(&mut self, until_ms: u64) {
        self.longest_hold_ms = self.longest_hold_ms.max(until_ms);
    }

    /// The moment at which the target has killed everything unless it is renewed.
    pub(crate) fn hold_ends(&self) -> Option<Moment> {
        let reading = self.clock?;
        let left = self.longest_hold_ms.saturating_sub(reading.clock_ms);
        Some(reading.at + Duration::from_millis(left).mul_f64(SLOW_CLOCK))
    }

    /// Forgets a life of the target; the next one starts with no token and no ends.
    pub(crate) fn forget_instance(&mut self) {
        let heard = self.heard;
        *self = Self {
            heard,
            is_settled: true,
            has_lost_instance: true,
            ..Self::default()
        };
    }
}
