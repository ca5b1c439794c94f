use std::time::Duration;

use super::contact_loss::ContactLoss;
use crate::job::TargetProfile;
use crate::types::Moment;

/// What is known of the target and of its clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetLink {
    /// What the target said of itself, or what an entry remembers.
    pub(crate) profile: Option<TargetProfile>,
    /// Whether this life of it has reported to this process.
    pub(crate) has_reported: bool,
    /// Whether the life that the profile is of has answered: a remembered one may be over.
    pub(crate) is_confirmed: bool,
    /// Whether a life of it has ended: what is remembered is of no use any more.
    pub(crate) has_lost_instance: bool,
    /// Whether it is leaving.
    pub(crate) is_draining: bool,
    /// Until when it is slower than usual.
    pub(crate) cold_until: Moment,
    /// When the life started that answers looks, in Unix milliseconds; 0 if that is not known.
    pub(crate) born_ms: u64,
    /// The fencing token, once the target's clock has been read.
    pub(crate) token: Option<u64>,
    /// Above every token that was used with earlier lives.
    token_floor: u64,
    /// The highest end that has been noted.
    pub(crate) last_seen: u64,
    /// Looks that failed in a row.
    pub(crate) failed_looks: u32,
    /// The signs since the last answer that it is gone.
    pub(crate) contact_loss: ContactLoss,
    /// The last time anything was heard.
    pub(crate) heard: Moment,
    /// When the last look was sent that this life has answered.
    pub(crate) viewed: Moment,
    /// Then all is over of which the next life may have taken the order before it has been looked at.
    pub(crate) unclear_until: Option<Moment>,
    /// Until then the target may hold runs for longer than it was asked to.
    pub(crate) overlong_until: Moment,
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
/// A target's clock is read again after this time: what it may be off by then is lost of each hold to caution, and
/// without a reading holds would be too long by it.
const CLOCK_READ_EACH: Duration = Duration::from_secs(2);
/// Without a reading for this long nothing is started: the process or its VM stood still.
const CLOCK_STALE: Duration = Duration::from_secs(3);

/// A refused token grows by this factor until it passes the fence.
const FENCE_GROWTH: u64 = 2;
/// Two readings of a clock may differ by so many milliseconds through rounding.
const CLOCK_ROUNDING_MS: u64 = 2;

impl TargetLink {
    /// Takes a reading of the target's clock.
    pub(crate) fn read_clock(&mut self, now: Moment, clock_ms: u64) {
        self.heard = now;
        self.failed_looks = 0;
        self.contact_loss = ContactLoss::default();
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

    /// Whether the last calls say that the target may be gone.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.failed_looks > 0 || self.contact_loss.is_refused()
    }

    /// Notes that the target was told to hold its runs until this time on its clock.
    pub(crate) fn note_hold(&mut self, until_ms: u64) {
        self.longest_hold_ms = self.longest_hold_ms.max(until_ms);
    }

    /// How long the target may hold runs that it holds for `time` by its own clock.
    pub(crate) fn held_for(time: Duration) -> Duration {
        time.mul_f64(SLOW_CLOCK)
    }

    /// The moment at which the target has killed everything unless it is renewed.
    pub(crate) fn hold_ends(&self) -> Option<Moment> {
        let reading = self.clock?;
        let left = self.longest_hold_ms.saturating_sub(reading.clock_ms);
        Some(reading.at + Self::held_for(Duration::from_millis(left)))
    }

    /// Forgets a life of the target; the next one starts with no ends. If lives share a name its token is above those
    /// before: it would carry out late orders that were meant for the life before.
    pub(crate) fn forget_instance(&mut self) {
        let reported = self
            .profile
            .as_ref()
            .map_or(0, |profile| profile.id.started_at_ms);
        let shares_name = self.born_ms.max(reported) != 0;
        let used = self.token.map_or(self.token_floor, |token| token + 1);
        *self = Self {
            token_floor: if shares_name { used } else { 0 },
            heard: self.heard,
            is_settled: true,
            has_lost_instance: true,
            ..Self::default()
        };
    }

    /// Forgets a profile that is not that of the life which answers.
    pub(crate) fn forget_profile(&mut self) {
        self.profile = None;
        self.has_reported = false;
        self.has_lost_instance = true;
        self.is_draining = false;
        self.cold_until = Moment::default();
    }

    /// The token for the next order.
    pub(crate) fn order_token(&self) -> u64 {
        self.token.unwrap_or(self.token_floor)
    }

    /// Takes a value of the target's clock as the token; tokens never fall.
    pub(crate) fn raise_token(&mut self, clock_ms: u64) {
        let token = clock_ms.max(1).max(self.order_token());
        self.token = Some(token);
    }

    /// A higher token than `refused` was there. If that is one by the clock of an earlier life, which was far ahead, this
    /// life's clock would not get there for as long as the earlier one has lived.
    pub(crate) fn pass_fence(&mut self, refused: u64, clock_ms: u64) {
        self.raise_token(clock_ms);
        let grown = refused.saturating_mul(FENCE_GROWTH);
        self.token = Some(self.order_token().max(grown));
    }

    /// Whether a value of the target's clock, read after `asked`, can't come from the life whose clock is known.
    pub(crate) fn is_clock_anew(&self, asked: Moment, clock_ms: u64) -> bool {
        let least = self.clock_at(asked);
        least.is_some_and(|least| clock_ms + CLOCK_ROUNDING_MS < least)
    }
}
