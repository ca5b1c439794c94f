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

impl TargetLink {
    /// Takes a reading of the target's clock.
    pub(crate) fn read_clock(&mut self, now: Moment, clock_ms: u64) {
        self.heard = now;
        self.failed_looks = 0;
        self.clock = Some(ClockReading { at: now, clock_ms });
    }

    /// The target's clock at a moment of this process.
    pub(crate) fn clock_at(&self, moment: Moment) -> Option<u64> {
        let reading = self.clock?;
        if moment >= reading.at {
            return Some(reading.clock_ms + moment.since(reading.at).as_millis() as u64);
        }
        let before = reading.at.since(moment).as_millis() as u64;
        Some(reading.clock_ms.saturating_sub(before))
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
