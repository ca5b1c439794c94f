//! Targets that restart under the same name: detection of the incarnation that answers, and effects of a restart.
//!
//! Orders name their target but not its incarnation, and answers to orders do not say which
//! incarnation sent them. Probes do. The first probe of a new incarnation settles which orders it
//! has received before.

use super::target_agent::{ProbeInFlight, TargetAgent};
use super::target_link::TargetLink;
use super::target_reports::EndOfIncarnation;
use super::{AgentDecision, Run, RunPhase, TargetView};
use crate::job::{EndOfRun, RunId, TargetId};
use crate::types::Moment;

impl TargetAgent {
    /// Returns whether an incarnation that started at this time is not the known one. Returns
    /// `false` if either start time is unknown.
    pub(super) fn is_other_start_time(&self, started_at_ms: u64) -> bool {
        let known = self.known_start_time();
        known != 0 && started_at_ms != 0 && known != started_at_ms
    }

    /// Returns whether an incarnation ended before the known one started.
    pub(super) fn is_earlier_incarnation(&self, target: &TargetId) -> bool {
        match &self.link.profile {
            Some(known) => target.precedes(&known.id),
            None => target.started_at_ms != 0 && target.started_at_ms < self.link.started_at_ms,
        }
    }

    /// Returns whether this is the incarnation that answers probes, although its first report did
    /// not contain its start time.
    pub(super) fn has_answered_as(&self, target: &TargetId) -> bool {
        let known = self.link.profile.as_ref().map(|profile| &profile.id);
        let is_start_unknown =
            known.is_some_and(|id| id.name == target.name && id.started_at_ms == 0);
        is_start_unknown
            && target.started_at_ms != 0
            && target.started_at_ms == self.link.started_at_ms
    }

    /// Returns whether the profile is confirmed by a report or an answer of its incarnation, rather
    /// than only remembered.
    pub(super) fn is_incarnation_known(&self) -> bool {
        self.link.profile.is_none() || self.link.has_reported || self.link.is_confirmed
    }

    /// Handles an answer of another incarnation than the known one. If the known one is only
    /// remembered, the runs belong to the one that answers, and continue.
    pub(super) fn other_incarnation_answered(&mut self, now: Moment) {
        match self.is_incarnation_known() {
            true => self.replace_incarnation(now, EndOfIncarnation::Crashed),
            false => self.forget_profile(now),
        }
    }

    /// Drops a remembered profile of an incarnation that has ended and is not the one that answers
    /// probes.
    pub(super) fn forget_profile(&mut self, now: Moment) {
        if let Some(target) = self.target_id() {
            self.incarnations.end(target.clone());
            self.record_decision(AgentDecision::WrongProfile { target });
        }
        self.incarnations.forget_known();
        self.link.forget_profile();
        self.probe_not_before = now;
        self.take_other_incarnation(now);
    }

    fn known_start_time(&self) -> u64 {
        let reported = self.link.profile.as_ref();
        let reported = reported.map_or(0, |profile| profile.id.started_at_ms);
        match reported {
            0 => self.link.started_at_ms,
            started_at_ms => started_at_ms,
        }
    }

    /// Records the start time of the incarnation that answered a probe.
    pub(super) fn record_start_time(&mut self, started_at_ms: u64) {
        if started_at_ms != 0 {
            self.link.started_at_ms = started_at_ms;
        }
    }

    /// Handles the answer of a new incarnation to a probe. Runs whose orders the new incarnation
    /// may have received are stopped. All other runs have ended.
    pub(super) fn target_restarted(
        &mut self,
        now: Moment,
        probe: ProbeInFlight,
        view: &TargetView,
    ) {
        let is_listed = |id: &RunId| view.running.iter().any(|row| row.run == *id);
        let going_on = self.runs_where(|id, run| is_listed(id) || run.is_unanswered());
        let is_overlong = probe.is_held || self.has_ordered_since(self.link.answered_probe_sent);
        if let Some(target) = self.target_id() {
            self.incarnations.end(target.clone());
            let stopped = going_on.len();
            self.record_decision(AgentDecision::TargetRestarted { target, stopped });
        }
        self.end_incarnation_except(now, &going_on);
        self.record_start_time(view.started_at_ms);
        if is_overlong {
            // The new incarnation was asked to hold its runs by the clock of the previous one,
            // which may be far ahead.
            self.link.overlong_until = now + TargetLink::max_hold_time(self.settings.max_hold);
        }
    }

    /// Handles a probe that was refused because no process listened at the target's address. The
    /// known incarnation has ended. An incarnation that has started since may have received the
    /// orders that were sent after the probe.
    pub(super) fn target_refused(&mut self, now: Moment, probed: Moment) {
        if self.known_start_time() == 0 {
            // Orders name the incarnation that has ended, and any other incarnation refuses them.
            self.end_incarnation(now, EndOfIncarnation::Crashed);
            return;
        }
        let going_on = self.runs_where(|_, run| run.since >= probed || run.is_unanswered());
        self.end_incarnation_except(now, &going_on);
        let max_hold_time = TargetLink::max_hold_time(self.settings.max_hold);
        self.link.unclear_until = Some(now + max_hold_time);
    }

    /// Ends an incarnation and all of its runs except `going_on`. The next incarnation may have
    /// received the orders of these, so they are stopped.
    fn end_incarnation_except(&mut self, now: Moment, going_on: &[RunId]) {
        let ended_runs = self.runs_where(|id, _| !going_on.contains(id));
        self.end_incarnation_with(now, EndOfIncarnation::Crashed, &ended_runs);
        for run in going_on {
            self.stop_run(now, *run, EndOfRun::Lost);
        }
    }

    fn has_ordered_since(&self, moment: Moment) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|(_, run)| run.since >= moment)
    }

    fn runs_where(&self, is_wanted: impl Fn(&RunId, &Run) -> bool) -> Vec<RunId> {
        let runs = self.runs.iter().filter(|(id, run)| is_wanted(id, run));
        runs.map(|(id, _)| *id).collect()
    }
}

impl Run {
    /// Returns whether the outcome of the last order for the run is unknown.
    fn is_unanswered(&self) -> bool {
        match self.phase {
            RunPhase::Ordered | RunPhase::Unconfirmed { .. } => true,
            RunPhase::Running => false,
            RunPhase::Stopping { acknowledged, .. } => acknowledged.is_none(),
        }
    }
}
