use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Credit, CreditSeq, SideHello};
use crate::types::{Incarnation, Moment};

/// Weight of a new run time in the moving mean of a side's slowness. The mean of errors uses twice
/// this weight.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Slowness below which a side does not count as slow.
const SLOW_THRESHOLD: f64 = 1.5;
/// Length of the first pause after a refusal.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// Maximum length of a pause after refusals.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Rate of error answers above which a side is paused.
const ERROR_RATE_THRESHOLD: f64 = 0.5;
/// Percentage of a credit's lifetime that an entry leaves unused, as a margin for clock drift and
/// the transit time of the start.
const LIFETIME_MARGIN_PERCENT: u32 = 10;
/// Added to the placement score of a side in another hall. One step of slowness adds twice as much.
const OTHER_HALL_SCORE: u32 = 1;

/// A credit that this entry holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldCredit {
    pub(crate) seq: CreditSeq,
    pub(crate) expires: Moment,
    /// Whether a peer lent the credit. Only messages from that peer to the side extend the lifetime
    /// of such a credit.
    pub(crate) is_borrowed: bool,
}

/// State of one side as known to an entry, with the credits of the side that the entry holds.
#[derive(Clone, Debug)]
pub(crate) struct PooledSide {
    pub(crate) hello: SideHello,
    pub(crate) credits: VecDeque<HeldCredit>,
    pub(crate) running: u32,
    pub(crate) is_leaving: bool,
    pub(crate) is_in_other_hall: bool,
    pub(crate) demand_sent_at: Option<Moment>,
    /// Number of slots that are neither in use nor granted, as last reported by the side.
    pub(crate) idle_slots: u16,
    /// Lifetime of the side's credits, less the margin.
    usable_lifetime: Duration,
    /// Time until which all credits granted to this entry are valid. Each message that the side
    /// receives from this entry extends it.
    extended_until: Moment,
    slowness: f64,
    error_rate: f64,
    refusals_in_row: u32,
    paused_until: Moment,
}

impl PooledSide {
    pub(crate) fn new(hello: SideHello, is_in_other_hall: bool) -> Self {
        Self {
            idle_slots: hello.slots,
            hello,
            credits: VecDeque::new(),
            running: 0,
            is_leaving: false,
            is_in_other_hall,
            demand_sent_at: None,
            usable_lifetime: Duration::ZERO,
            extended_until: Moment::default(),
            slowness: 1.0,
            error_rate: 0.0,
            refusals_in_row: 0,
            paused_until: Moment::default(),
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.hello.incarnation
    }

    /// Adds a credit and returns whether it can be used.
    pub(crate) fn keep(&mut self, now: Moment, credit: Credit, is_borrowed: bool) -> bool {
        if credit.incarnation != self.incarnation() || self.is_leaving {
            return false;
        }
        let lifetime = Duration::from_millis(u64::from(credit.lifetime_ms));
        let usable = lifetime * (100 - LIFETIME_MARGIN_PERCENT) / 100;
        if !is_borrowed {
            self.usable_lifetime = self.usable_lifetime.max(usable);
        }
        self.credits.push_back(HeldCredit {
            seq: credit.seq,
            expires: now + usable,
            is_borrowed,
        });
        true
    }

    /// Records that the side has received a message sent at `sent_at`. Credits granted to this
    /// entry are valid for a full lifetime from that time.
    pub(crate) fn record_received(&mut self, sent_at: Moment) {
        let until = sent_at + self.usable_lifetime;
        self.extended_until = self.extended_until.max(until);
    }

    /// Returns the time until which a credit can be used.
    pub(crate) fn expires(&self, credit: &HeldCredit) -> Moment {
        if credit.is_borrowed {
            return credit.expires;
        }
        credit.expires.max(self.extended_until)
    }

    /// Drops expired credits and returns their number.
    pub(crate) fn drop_expired(&mut self, now: Moment) -> u64 {
        let before = self.credits.len();
        let mut kept = std::mem::take(&mut self.credits);
        kept.retain(|credit| self.expires(credit) > now);
        self.credits = kept;
        let dropped = before - self.credits.len();
        // The slots of expired credits stay idle at the side until an entry requests them.
        self.idle_slots += dropped as u16;
        dropped as u64
    }

    /// Returns the credits that expire within a third of the usable lifetime unless they are
    /// exchanged.
    pub(crate) fn expiring(&self, now: Moment) -> impl Iterator<Item = CreditSeq> + '_ {
        let renewal_limit = now + self.usable_lifetime / 3;
        let expiring = move |credit: &&HeldCredit| self.expires(credit) <= renewal_limit;
        self.credits
            .iter()
            .filter(expiring)
            .map(|credit| credit.seq)
    }

    pub(crate) fn runs_service(&self, service: &crate::types::NodeName) -> bool {
        self.hello.services.is_empty() || self.hello.services.contains(service)
    }

    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        self.paused_until > now
    }

    pub(crate) fn paused_until(&self) -> Moment {
        self.paused_until
    }

    /// Records a refusal by the target and pauses the side. Each pause in a row is twice as long as
    /// the one before, up to a maximum.
    pub(crate) fn record_refusal(&mut self, now: Moment) {
        let doubled = INITIAL_PAUSE * 2_u32.pow(self.refusals_in_row.min(5));
        self.refusals_in_row += 1;
        self.paused_until = now + doubled.min(MAX_PAUSE);
    }

    /// Records an answer. `ratio` is its run time relative to the mean run time of the service.
    pub(crate) fn record_answer(&mut self, now: Moment, ratio: f64, is_error: bool) {
        self.slowness += SMOOTHING_FACTOR * (ratio - self.slowness);
        let error = if is_error { 1.0 } else { 0.0 };
        self.error_rate += SMOOTHING_FACTOR * 2.0 * (error - self.error_rate);
        if is_error && self.error_rate > ERROR_RATE_THRESHOLD {
            self.record_refusal(now);
        } else if !is_error {
            self.refusals_in_row = 0;
        }
    }

    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the placement score; lower is better. The score has coarse steps, so that noise does
    /// not reorder sides of similar speed.
    pub(crate) fn score(&self) -> u32 {
        let slow = if self.slowness < SLOW_THRESHOLD {
            0
        } else {
            (self.slowness / SLOW_THRESHOLD).log2().floor() as u32 + 1
        };
        let other_hall = if self.is_in_other_hall {
            OTHER_HALL_SCORE
        } else {
            0
        };
        2 * slow + other_hall
    }
}
