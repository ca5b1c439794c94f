use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Credit, CreditSeq, SideHello};
use crate::types::{Incarnation, Moment};

/// The weight of a new measurement of a side's slowness.
const NEW_SHARE: f64 = 0.05;
/// Below this multiple of the usual time a side does not count as slow.
const SLOW_FROM: f64 = 1.5;
/// The first pause after a refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after refusals.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// The share of error answers from which a side is paused.
const ERROR_SHARE: f64 = 0.5;
/// The part of a credit's life that an entry leaves unused, for clock drift and the trip.
const LIFE_MARGIN_PERCENT: u32 = 10;
/// What an away hall adds to the score: as much as being slow by one step.
const AWAY_SCORE: u32 = 1;

/// A credit in the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldCredit {
    pub(crate) seq: CreditSeq,
    pub(crate) expires: Moment,
    /// Lent by a peer: the side counts its life by what it hears from that peer.
    pub(crate) is_borrowed: bool,
}

/// What an entry knows of one side, with the credits it holds there.
#[derive(Clone, Debug)]
pub(crate) struct PooledSide {
    pub(crate) hello: SideHello,
    pub(crate) credits: VecDeque<HeldCredit>,
    pub(crate) running: u32,
    pub(crate) is_leaving: bool,
    pub(crate) is_away: bool,
    pub(crate) told_at: Option<Moment>,
    /// Slots that are neither taken nor granted, as the side last said.
    pub(crate) resting: u16,
    /// How long credits of the side live, less the margin.
    usable_life: Duration,
    /// All credits granted here live at least until then: the side has heard from this entry.
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

    /// Keeps a credit; returns whether it can be used.
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

    /// Notes that the side has received what was sent to it at `sent_at`: credits that it
    /// granted to this entry live on from then.
    pub(crate) fn note_received(&mut self, sent_at: Moment) {
        let until = sent_at + self.usable_life;
        self.extended_until = self.extended_until.max(until);
    }

    /// Until when a credit can be used.
    pub(crate) fn expires(&self, credit: &HeldCredit) -> Moment {
        if credit.is_borrowed {
            return credit.expires;
        }
        credit.expires.max(self.extended_until)
    }

    /// Drops expired credits; returns how many.
    pub(crate) fn drop_expired(&mut self, now: Moment) -> u64 {
        let before = self.credits.len();
        let mut kept = std::mem::take(&mut self.credits);
        kept.retain(|credit| self.expires(credit) > now);
        self.credits = kept;
        let dropped = before - self.credits.len();
        // Their slots rest at the side until someone asks for them.
        self.resting += dropped as u16;
        dropped as u64
    }

    /// Credits that end soon unless they are exchanged.
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

    /// Notes a refusal by the target and pauses the side, longer each time.
    pub(crate) fn note_refusal(&mut self, now: Moment) {
        let doubled = FIRST_PAUSE * 2_u32.pow(self.refusals_in_row.min(5));
        self.refusals_in_row += 1;
        self.paused_until = now + doubled.min(LONGEST_PAUSE);
    }

    /// Notes an answer: its time against the usual time, and whether it was an error.
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

    /// The placement score: lower is better. Steps, so that noise does not reorder equals.
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
