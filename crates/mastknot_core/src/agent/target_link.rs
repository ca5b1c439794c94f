use std::time::Duration;

use super::contact_loss::ContactLoss;
use crate::job::TargetProfile;
use crate::types::Moment;

/// Knowledge about the target and its clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetLink {
    /// Profile that the target reported or that an entry or an earlier incarnation of this process
    /// remembered.
    pub(crate) profile: Option<TargetProfile>,
    /// Whether the known incarnation has reported to this process.
    pub(crate) has_reported: bool,
    /// Whether the incarnation of the profile has answered. A remembered one may have ended.
    pub(crate) is_confirmed: bool,
    /// Whether an incarnation has ended, so that remembered profiles are of no use any more.
    pub(crate) has_lost_incarnation: bool,
    /// Whether the target is shutting down.
    pub(crate) is_draining: bool,
    /// Time until which the target is slower than usual.
    pub(crate) cold_until: Moment,
    /// Start time of the incarnation that answers probes, in Unix milliseconds; 0 if unknown.
    pub(crate) started_at_ms: u64,
    /// Fencing token, once the target's clock has been read.
    pub(crate) token: Option<u64>,
    /// Lower bound of the next token, above every token that was used with earlier incarnations.
    token_floor: u64,
    /// Highest number of an ended run that has been recorded.
    pub(crate) last_seen: u64,
    /// Number of probes that have failed in a row.
    pub(crate) failed_probes: u32,
    /// Signs since the last answer that the target has gone.
    pub(crate) contact_loss: ContactLoss,
    /// Time of the last answer of the target.
    pub(crate) last_answer: Moment,
    /// Time at which the last probe was sent that the known incarnation has answered.
    pub(crate) answered_probe_sent: Moment,
    /// Time after which all runs must have ended whose orders the next incarnation may have
    /// received before it was probed.
    pub(crate) unclear_until: Option<Moment>,
    /// Time until which the target may hold runs for longer than it was asked to.
    pub(crate) overlong_until: Moment,
    /// Whether the runs of an earlier incarnation of this process have been listed, or there cannot
    /// be any.
    pub(crate) is_settled: bool,
    clock: Option<ClockReading>,
    /// Latest hold that was requested, on the target's clock in milliseconds.
    latest_hold_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ClockReading {
    at: Moment,
    clock_ms: u64,
}

/// Factor by which a target's clock may be slow.
const SLOW_CLOCK: f64 = 1.03;
/// Time after which a target's clock is read again. The possible error of the clock until then
/// shortens each hold, and without a reading holds would be too long by this error.
const CLOCK_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a reading of the target's clock after which nothing is started, because the process
/// or its VM was paused.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(3);

/// Factor by which a refused token grows until it passes the fence.
const FENCE_GROWTH: u64 = 2;
/// Difference between two readings of a clock that rounding can cause, in milliseconds.
const CLOCK_ROUNDING_MS: u64 = 2;

impl TargetLink {
    /// Records a reading of the target's clock, which shows that the target answers.
    pub(crate) fn read_clock(&mut self, now: Moment, clock_ms: u64) {
        self.last_answer = now;
        self.failed_probes = 0;
        self.contact_loss = ContactLoss::default();
        self.clock = Some(ClockReading { at: now, clock_ms });
    }

    /// Returns the lowest value that the target's clock can show at a time of this process, in
    /// milliseconds. A hold that is requested by this value is never too long.
    pub(crate) fn clock_at(&self, moment: Moment) -> Option<u64> {
        let reading = self.clock?;
        if moment >= reading.at {
            let passed = moment.since(reading.at).div_f64(SLOW_CLOCK);
            return Some(reading.clock_ms + passed.as_millis() as u64);
        }
        let before = reading.at.since(moment).as_millis() as u64;
        Some(reading.clock_ms.saturating_sub(before))
    }

    /// Returns the time at which the target's clock has to be read again, or `None` if it was never
    /// read.
    pub(crate) fn clock_due(&self) -> Option<Moment> {
        self.clock.map(|reading| reading.at + CLOCK_READ_INTERVAL)
    }

    /// Returns whether too much time has passed since the target's clock was read.
    pub(crate) fn is_clock_stale(&self, now: Moment) -> bool {
        let reading = self.clock;
        reading.is_none_or(|reading| now.since(reading.at) > MAX_CLOCK_AGE)
    }

    /// Returns whether the last calls indicate that the target may have gone.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.failed_probes > 0 || self.contact_loss.is_refused()
    }

    /// Records that the target was asked to hold its runs until this time on its clock, in
    /// milliseconds.
    pub(crate) fn record_hold(&mut self, until_ms: u64) {
        self.latest_hold_ms = self.latest_hold_ms.max(until_ms);
    }

    /// Returns the longest time for which a target holds runs that it holds for `time` by its own
    /// clock.
    pub(crate) fn max_hold_time(time: Duration) -> Duration {
        time.mul_f64(SLOW_CLOCK)
    }

    /// Returns the time at which the target has ended all its runs unless the hold is renewed.
    pub(crate) fn hold_ends(&self) -> Option<Moment> {
        let reading = self.clock?;
        let left = self.latest_hold_ms.saturating_sub(reading.clock_ms);
        Some(reading.at + Self::max_hold_time(Duration::from_millis(left)))
    }

    /// Drops an incarnation of the target; the next one starts without ended runs. If incarnations
    /// share a name, the token of the next one is higher than all tokens before, because the next
    /// one would carry out late orders that were meant for the previous one.
    pub(crate) fn forget_incarnation(&mut self) {
        let reported = self
            .profile
            .as_ref()
            .map_or(0, |profile| profile.id.started_at_ms);
        let shares_name = self.started_at_ms.max(reported) != 0;
        let used = self.token.map_or(self.token_floor, |token| token + 1);
        *self = Self {
            token_floor: if shares_name { used } else { 0 },
            last_answer: self.last_answer,
            is_settled: true,
            has_lost_incarnation: true,
            ..Self::default()
        };
    }

    /// Drops a profile that does not belong to the incarnation that answers.
    pub(crate) fn forget_profile(&mut self) {
        self.profile = None;
        self.has_reported = false;
        self.has_lost_incarnation = true;
        self.is_draining = false;
        self.cold_until = Moment::default();
    }

    /// Returns the token for the next order.
    pub(crate) fn order_token(&self) -> u64 {
        self.token.unwrap_or(self.token_floor)
    }

    /// Takes a value of the target's clock, in milliseconds, as the token. Tokens never decrease.
    pub(crate) fn raise_token(&mut self, clock_ms: u64) {
        let token = clock_ms.max(1).max(self.order_token());
        self.token = Some(token);
    }

    /// Raises the token after the target has refused `refused`, because it had received a higher
    /// one. That token may come from the clock of an earlier incarnation that was far ahead. Without
    /// the growth, the clock of the present incarnation would reach it only after the time for
    /// which the earlier one has existed.
    pub(crate) fn pass_fence(&mut self, refused: u64, clock_ms: u64) {
        self.raise_token(clock_ms);
        let grown = refused.saturating_mul(FENCE_GROWTH);
        self.token = Some(self.order_token().max(grown));
    }

    /// Returns whether a value of the target's clock that was read after `asked` cannot come from
    /// the incarnation whose clock is known.
    pub(crate) fn is_clock_restarted(&self, asked: Moment, clock_ms: u64) -> bool {
        let lowest = self.clock_at(asked);
        lowest.is_some_and(|lowest| clock_ms + CLOCK_ROUNDING_MS < lowest)
    }
}
