use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Credit, CreditSeq, SideHello};
use crate::types::{Incarnation, Moment};

/// Weight of a new run time in the moving mean of a side's slowness. The mean of errors uses twice
/// this weight.
const NEW_SHARE: f64 = 0.05;
/// Slowness below which a side does not count as slow.
const SLOW_FROM: f64 = 1.5;
/// Length of the first pause after a refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum length of a pause after refusals.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Rate of error answers above which a side is paused.
const ERROR_SHARE: f64 = 0.5;
/// Percentage of a credit's lifetime that an entry leaves unused, as a margin for clock drift and
/// the transit time of the start.
const LIFE_MARGIN_PERCENT: u32 = 10;
/// Added to the placement score of a side in another hall. One step of slowness adds twice as much.
const AWAY_SCORE: u32 = 1;

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
    pub(crate) is_away: bool,
    pub(crate) told_at: Option<Moment>,
    /// Number of slots that are neither in use nor granted, as last reported by the side.
    pub(crate) resting: u16,
    /// Lifetime of the side's credits, less the margin.
    usable_life: Duration,
    /// Time until which all credits granted to this entry are valid. Each message that the side
    /// receives from this entry extends it.
    extended_until: Moment,
    slowness: f64,
    errors: f64,
    refusals_in_row: u32,
    paused_until: Moment,
}

impl PooledSide {
    pub(crate) fn new(hello: SideHello, is_away: bool) -> Self {
        Self {
            resting: hello.slots,
            hello,
            credits: VecDeque::new(),
            running: 0,
            is_leaving: false,
            is_away,
            told_at: None,
            usable_life: Duration::ZERO,
            extended_until: Moment::default(),
            slowness: 1.0,
            errors: 0.0,
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
        let life = Duration::from_millis(u64::from(credit.lifetime_ms));
        let usable = life * (100 - LIFE_MARGIN_PERCENT) / 100;
        if !is_borrowed {
            self.usable_life = self.usable_life.max(usable);
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
    pub(crate) fn note_received(&mut self, sent_at: Moment) {
        let until = sent_at + self.usable_life;
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
        self.resting += dropped as u16;
        dropped as u64
    }

    /// Returns the credits that expire within a third of the usable lifetime unless they are
    /// exchanged.
    pub(crate) fn ending(&self, now: Moment) -> impl Iterator<Item = CreditSeq> + '_ {
        let soon = now + self.usable_life / 3;
        let ending = move |credit: &&HeldCredit| self.expires(credit) <= soon;
        self.credits.iter().filter(ending).map(|credit| credit.seq)
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
    pub(crate) fn note_refusal(&mut self, now: Moment) {
        let doubled = FIRST_PAUSE * 2_u32.pow(self.refusals_in_row.min(5));
        self.refusals_in_row += 1;
        self.paused_until = now + doubled.min(LONGEST_PAUSE);
    }

    /// Records an answer. `ratio` is its run time relative to the mean run time of the service.
    pub(crate) fn note_answer(&mut self, now: Moment, ratio: f64, is_error: bool) {
        self.slowness += NEW_SHARE * (ratio - self.slowness);
        let error = if is_error { 1.0 } else { 0.0 };
        self.errors += NEW_SHARE * 2.0 * (error - self.errors);
        if is_error && self.errors > ERROR_SHARE {
            self.note_refusal(now);
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
        let slow = if self.slowness < SLOW_FROM {
            0
        } else {
            (self.slowness / SLOW_FROM).log2().floor() as u32 + 1
        };
        let away = if self.is_away { AWAY_SCORE } else { 0 };
        2 * slow + away
    }
}
