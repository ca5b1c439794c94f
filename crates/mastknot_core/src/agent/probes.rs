//! Probes of the target: when they are sent, which hold they ask for, and what a failed probe
//! means.

use std::time::Duration;

use super::owners::Owner;
use super::target_agent::{ProbeInFlight, TargetAgent};
use super::{AgentDecision, AgentEffect, ProbeFailure, Run, RunPhase, TargetView};
use crate::types::Moment;

/// Number of probes that failed in a row, or of unanswered orders, from which a target counts as
/// absent.
pub(super) const ABSENT_AFTER: u32 = 2;
/// Pause between two probes of a target that does not answer.
const FAILED_PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two probes of an address at which no process listens.
const REFUSED_PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Time that a probe waits at the target if a decision depends on its outcome.
const OPEN_PROBE_WAIT: Duration = Duration::from_millis(10);
/// Factor by which the answer to a probe may take longer than the answer to an order, in addition
/// to the wait that the probe asks for. A probe transfers more data.
const PROBE_MARGIN: u32 = 2;

impl TargetAgent {
    /// Returns the time until which the target should hold its runs, on the target's clock in
    /// milliseconds.
    ///
    /// The time is as long as the oldest lease allows under which something runs. If this process
    /// fails, no run continues past the lease of its entry.
    pub(super) fn hold_until(&self, now: Moment) -> u64 {
        let bound = self
            .oldest_lease_with_runs()
            .or_else(|| self.newest_lease());
        let from = bound.unwrap_or(now).min(now);
        let clock = self.link.clock_at(from).unwrap_or_default();
        clock + self.settings.terms.target_hold.as_millis() as u64
    }

    /// Returns whether a hold that was requested under newer leases would let a run of this entry
    /// continue, should this process fail, after the entry regards the run as over. A target never
    /// shortens a hold.
    pub(super) fn is_held_past(&self, owner: &Owner) -> bool {
        let runs_over_at = owner.lease_from + self.settings.terms.run_over_after;
        self.link
            .hold_ends()
            .is_some_and(|ends| ends >= runs_over_at)
    }

    fn oldest_lease_with_runs(&self) -> Option<Moment> {
        let owners = self.runs.iter().map(|(_, run)| &run.owner);
        // An entry may have linked again since its lease ended; runs under the ended lease may not
        // be over yet.
        let leases = owners.filter_map(|key| match self.ended_leases.get(key) {
            Some(lease_from) => Some(*lease_from),
            None => self.owners.get(key).map(|owner| owner.lease_from),
        });
        leases.min()
    }

    fn newest_lease(&self) -> Option<Moment> {
        self.owners.values().map(|owner| owner.lease_from).max()
    }

    fn needs_probe(&self) -> bool {
        let is_probing = self.link.token.is_none() || !self.link.is_settled;
        let is_busy = !self.runs.is_empty() || !self.survivors.is_empty();
        is_probing || is_busy || self.link.is_doubtful() || self.incarnations.other.is_some()
    }

    /// Returns the time at which the next probe is due, or `None` while a probe is in flight.
    pub(super) fn probe_due(&self) -> Option<Moment> {
        if self.probe.is_some() {
            return None;
        }
        match self.needs_probe() {
            true => Some(self.probe_not_before),
            false => self
                .link
                .clock_due()
                .map(|at| at.max(self.probe_not_before)),
        }
    }

    pub(super) fn ensure_probe(&mut self, now: Moment) {
        if self.probe_due().is_none_or(|due| now < due) {
            return;
        }
        let number = self.next_probe;
        self.next_probe += 1;
        let token = self.link.order_token();
        let is_held = self.link.token.is_some()
            && self.survivors.is_empty()
            && self.link.is_settled
            // The next incarnation would hold its runs by the clock of this one.
            && self.incarnations.other.is_none()
            && !self.owners.is_empty();
        let wait = self.probe_wait();
        let timeout = wait + self.answer_times.timeout() * PROBE_MARGIN;
        self.probe = Some(ProbeInFlight {
            number,
            sent: now,
            token,
            is_held,
            is_named: self.link.profile.is_some(),
            until: now + timeout,
        });
        let hold_until_ms = is_held.then(|| self.hold_until(now));
        if let Some(until) = hold_until_ms {
            self.link.record_hold(until);
        }
        self.effects.push(AgentEffect::Probe {
            number,
            hold_until_ms,
            token,
            last_seen: self.link.last_seen,
            wait,
            target: self.target_id(),
            timeout,
        });
    }

    /// Returns how long the next probe may wait at the target for a run to end. The wait is zero
    /// while the state of the target is unknown.
    fn probe_wait(&self) -> Duration {
        let is_unknown = self.link.token.is_none() || !self.link.is_settled;
        if is_unknown || self.link.is_doubtful() || self.incarnations.other.is_some() {
            return Duration::ZERO;
        }
        // No run can end, so the probe only reads the target's clock.
        if self.runs.is_empty() && self.survivors.is_empty() {
            return Duration::ZERO;
        }
        let is_open = self.runs.iter().any(|(_, run)| run.phase_is_open());
        match is_open || !self.survivors.is_empty() {
            true => OPEN_PROBE_WAIT,
            false => self.settings.probe_wait,
        }
    }

    pub(super) fn probed(
        &mut self,
        now: Moment,
        number: u64,
        result: Result<TargetView, ProbeFailure>,
    ) {
        let Some(probe) = self.probe.filter(|probe| probe.number == number) else {
            return;
        };
        self.probe = None;
        self.probe_not_before = now;
        match result {
            Ok(view) => self.probe_answered(now, probe, view),
            Err(ProbeFailure::Fenced { clock_ms }) => self.pass_fence(now, probe.token, clock_ms),
            Err(ProbeFailure::OtherIncarnation) => self.other_incarnation_answered(now),
            Err(ProbeFailure::Refused) => {
                self.link.contact_loss.record_refused(now);
                self.target_refused(now, probe.sent);
                self.link.failed_probes = ABSENT_AFTER;
                self.probe_not_before = now + REFUSED_PROBE_PAUSE;
            }
            Err(ProbeFailure::Silent) => self.probe_failed(now, probe),
        }
    }

    fn probe_failed(&mut self, now: Moment, probe: ProbeInFlight) {
        self.link.failed_probes += 1;
        match now < probe.until {
            true => self.link.contact_loss.record_broken(now),
            false => self.link.contact_loss.record_timeout(),
        }
        let in_a_row = self.link.failed_probes;
        self.record_decision(AgentDecision::ProbeFailed { in_a_row });
        if in_a_row > 1 {
            self.probe_not_before = now + FAILED_PROBE_PAUSE;
        }
        if self.silence_due().is_some_and(|due| now >= due) {
            self.lose_all(now);
        }
    }

    /// Returns the time after which a silent target must have ended all its runs.
    pub(super) fn silence_due(&self) -> Option<Moment> {
        let is_silent = self.link.failed_probes >= ABSENT_AFTER && !self.runs.is_empty();
        let ends = self.link.hold_ends().or(self.link.unclear_until);
        is_silent.then_some(ends).flatten()
    }
}

impl Run {
    /// Returns whether only a probe can show the state of the run.
    fn phase_is_open(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Unconfirmed { .. } | RunPhase::Stopping { .. }
        )
    }
}
