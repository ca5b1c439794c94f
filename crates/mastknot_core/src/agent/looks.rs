//! Looks at the target: when they are sent, with what hold, and what a failed one means.

use std::time::Duration;

use super::owners::Owner;
use super::target_agent::{LookInFlight, TargetAgent};
use super::{AgentDecision, AgentEffect, ProbeFailure, Run, RunPhase, TargetView};
use crate::types::Moment;

/// After so many failed looks in a row, or with so many unanswered orders, a target counts as absent.
pub(super) const ABSENT_AFTER: u32 = 2;
/// Between two looks at a target that does not answer.
const FAILED_LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Between two looks at an address where nothing listens.
const REFUSED_LOOK_PAUSE: Duration = Duration::from_millis(250);
/// How long a look waits on whose outcome a decision depends.
const OPEN_LOOK_WAIT: Duration = Duration::from_millis(10);
/// A look carries more than an order and may take so many times as long, besides its own wait.
const LOOK_MARGIN: u32 = 2;

impl TargetAgent {
    /// The hold that is asked for now, on the target's clock: as long as the oldest lease allows
    /// under which something runs. Should this process die, nothing outlives its entry's lease.
    pub(super) fn hold_until(&self, now: Moment) -> u64 {
        let bound = self
            .oldest_lease_with_runs()
            .or_else(|| self.newest_lease());
        let from = bound.unwrap_or(now).min(now);
        let clock = self.link.clock_at(from).unwrap_or_default();
        clock + self.settings.terms.target_hold.as_millis() as u64
    }

    /// Whether the hold that was asked for under younger leases would keep a run going after this entry believes it over,
    /// should this process die. A target never shortens a hold.
    pub(super) fn is_held_past(&self, owner: &Owner) -> bool {
        let over = owner.lease_from + self.settings.terms.run_over_after;
        self.link.hold_ends().is_some_and(|ends| ends >= over)
    }

    fn oldest_lease_with_runs(&self) -> Option<Moment> {
        let owners = self.runs.iter().map(|(_, run)| &run.owner);
        // An entry may have linked again since its lease ended: what ran under that one is not over yet.
        let leases = owners.filter_map(|key| match self.ended_leases.get(key) {
            Some(lease_from) => Some(*lease_from),
            None => self.owners.get(key).map(|owner| owner.lease_from),
        });
        leases.min()
    }

    fn newest_lease(&self) -> Option<Moment> {
        self.owners.values().map(|owner| owner.lease_from).max()
    }

    fn needs_look(&self) -> bool {
        let is_probing = self.link.token.is_none() || !self.link.is_settled;
        let is_busy = !self.runs.is_empty() || !self.survivors.is_empty();
        is_probing || is_busy || self.link.is_doubtful() || self.lives.other.is_some()
    }

    /// When the next look is sent, if none is under way.
    pub(super) fn look_due(&self) -> Option<Moment> {
        if self.look.is_some() {
            return None;
        }
        match self.needs_look() {
            true => Some(self.look_not_before),
            false => self.link.clock_due().map(|at| at.max(self.look_not_before)),
        }
    }

    pub(super) fn ensure_look(&mut self, now: Moment) {
        if self.look_due().is_none_or(|due| now < due) {
            return;
        }
        let number = self.next_look;
        self.next_look += 1;
        let token = self.link.order_token();
        let is_held = self.link.token.is_some()
            && self.survivors.is_empty()
            && self.link.is_settled
            // The next life would hold its runs by the clock of this one.
            && self.lives.other.is_none()
            && !self.owners.is_empty();
        let wait = self.look_wait();
        let limit = wait + self.answers.limit() * LOOK_MARGIN;
        self.look = Some(LookInFlight {
            number,
            sent: now,
            token,
            is_held,
            is_named: self.link.profile.is_some(),
            until: now + limit,
        });
        let hold_until_ms = is_held.then(|| self.hold_until(now));
        if let Some(until) = hold_until_ms {
            self.link.note_hold(until);
        }
        self.effects.push(AgentEffect::Probe {
            number,
            hold_until_ms,
            token,
            last_seen: self.link.last_seen,
            wait,
            target: self.target_id(),
            timeout: limit,
        });
    }

    /// How long the next look may wait for an end: not at all while the target is unknown.
    fn look_wait(&self) -> Duration {
        let is_unknown = self.link.token.is_none() || !self.link.is_settled;
        if is_unknown || self.link.is_doubtful() || self.lives.other.is_some() {
            return Duration::ZERO;
        }
        // Nothing can end: the look is for the target's clock.
        if self.runs.is_empty() && self.survivors.is_empty() {
            return Duration::ZERO;
        }
        let is_open = self.runs.iter().any(|(_, run)| run.phase_is_open());
        match is_open || !self.survivors.is_empty() {
            true => OPEN_LOOK_WAIT,
            false => self.settings.look_wait,
        }
    }

    pub(super) fn looked(
        &mut self,
        now: Moment,
        number: u64,
        result: Result<TargetView, ProbeFailure>,
    ) {
        let Some(look) = self.look.filter(|look| look.number == number) else {
            return;
        };
        self.look = None;
        self.look_not_before = now;
        match result {
            Ok(view) => self.viewed(now, look, view),
            Err(ProbeFailure::Fenced { clock_ms }) => self.pass_fence(now, look.token, clock_ms),
            Err(ProbeFailure::OtherIncarnation) => self.other_life_answered(now),
            Err(ProbeFailure::Refused) => {
                self.link.contact_loss.note_refused(now);
                self.target_refused(now, look.sent);
                self.link.failed_looks = ABSENT_AFTER;
                self.look_not_before = now + REFUSED_LOOK_PAUSE;
            }
            Err(ProbeFailure::Silent) => self.look_failed(now, look),
        }
    }

    fn look_failed(&mut self, now: Moment, look: LookInFlight) {
        self.link.failed_looks += 1;
        match now < look.until {
            true => self.link.contact_loss.note_broken(now),
            false => self.link.contact_loss.note_timeout(),
        }
        let in_a_row = self.link.failed_looks;
        self.decided(AgentDecision::ProbeFailed { in_a_row });
        if in_a_row > 1 {
            self.look_not_before = now + FAILED_LOOK_PAUSE;
        }
        if self.silence_due().is_some_and(|due| now >= due) {
            self.lose_all(now);
        }
    }

    /// When a silent target has killed everything.
    pub(super) fn silence_due(&self) -> Option<Moment> {
        let is_silent = self.link.failed_looks >= ABSENT_AFTER && !self.runs.is_empty();
        let ends = self.link.hold_ends().or(self.link.unclear_until);
        is_silent.then_some(ends).flatten()
    }
}

impl Run {
    /// Whether only a look can tell how it stands.
    fn phase_is_open(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Unconfirmed { .. } | RunPhase::Stopping { .. }
        )
    }
}
