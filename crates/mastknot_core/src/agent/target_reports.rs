//! Reports of the target about itself, and the end of an incarnation of the target.

use super::target_agent::TargetAgent;
use super::{AgentDecision, AgentEffect, SessionId, TargetReport};
use crate::job::{CrashedRun, EndOfRun, RunId, SideReport, TargetCrash, TargetId, TargetProfile};
use crate::types::Moment;

/// Maximum number of runs that the report of a crash names. The youngest are named, because a task
/// that crashes its target does so soon after its start.
const MAX_NAMED: usize = 128;

/// Way in which an incarnation of the target has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndOfIncarnation {
    /// The incarnation ended without announcing it.
    Crashed,
    /// The incarnation ended after it had announced its shutdown.
    Left,
}

impl TargetAgent {
    /// Ends the known incarnation because another one has answered or the known one has shut down.
    /// Late reports of the ended one are ignored.
    pub(super) fn replace_incarnation(&mut self, now: Moment, end: EndOfIncarnation) {
        if let Some(target) = self.target_id() {
            self.incarnations.end(target);
        }
        self.end_incarnation(now, end);
    }

    /// Ends the incarnation of the target and all of its runs.
    pub(super) fn end_incarnation(&mut self, now: Moment, end: EndOfIncarnation) {
        let runs = self.runs.ids();
        self.end_incarnation_with(now, end, &runs);
    }

    /// Ends the incarnation of the target and the given runs.
    pub(super) fn end_incarnation_with(
        &mut self,
        now: Moment,
        end: EndOfIncarnation,
        runs: &[RunId],
    ) {
        // A target that is shutting down ends without a further report if its last one is lost.
        let has_crashed = end == EndOfIncarnation::Crashed && !self.link.is_draining;
        let end_of_runs = match has_crashed {
            true => {
                self.record_crash(now, runs);
                EndOfRun::Crashed
            }
            false => EndOfRun::Lost,
        };
        self.incarnations.forget_known();
        self.link.forget_incarnation();
        self.health = Default::default();
        self.slowdown = Default::default();
        self.probe = None;
        self.probe_not_before = now;
        self.survivors.clear();
        for run in runs {
            self.end_run(now, *run, end_of_runs);
        }
        self.take_other_incarnation(now);
    }

    /// Ends all runs of a target that has been silent until its hold expired. Whether the target
    /// has crashed becomes known when it answers again.
    pub(super) fn lose_all(&mut self, now: Moment) {
        let silent_since = self.link.last_answer;
        let runs = self.runs.ids();
        let lost = self.crashed_runs(silent_since, &runs);
        // Runs that were ordered after the target's last answer may have been sent to a target that
        // had already crashed.
        let lost = lost.into_iter().filter(|crashed| crashed.has_begun);
        self.incarnations.lost_in_silence.extend(lost);
        for run in runs {
            self.end_run(now, run, EndOfRun::Lost);
        }
    }

    /// Records the runs of a target that has crashed and reports the crash.
    fn record_crash(&mut self, now: Moment, ended: &[RunId]) {
        let Some(target) = self.target_id() else {
            return;
        };
        let mut runs = std::mem::take(&mut self.incarnations.lost_in_silence);
        let crashed = self
            .link
            .contact_loss
            .crash_time(self.link.last_answer, now);
        runs.extend(self.crashed_runs(crashed.at, ended));
        runs.sort_by_key(|crashed| crashed.ran_ms);
        runs.truncate(MAX_NAMED);
        let ago_ms = 0;
        let crash = TargetCrash {
            target,
            ago_ms,
            was_silent: !crashed.is_known,
            runs,
        };
        self.report_crash(&crash);
        self.crashes.record(now, crash.clone());
        self.record_decision(AgentDecision::TargetCrashed(crash));
    }

    /// Reports a crash to all linked entries at once, including those on standby, because a task
    /// that crashed this target may be submitted again at any of them.
    fn report_crash(&mut self, crash: &TargetCrash) {
        let linked = self.owners.values().filter(|owner| owner.is_resumed);
        let linked: Vec<SessionId> = linked.filter_map(|owner| owner.session).collect();
        for session in linked {
            self.send(session, SideReport::TargetCrashed(crash.clone()));
        }
    }

    /// Returns how long the given runs had run when the target crashed.
    fn crashed_runs(&self, crashed: Moment, ended: &[RunId]) -> Vec<CrashedRun> {
        let runs = ended.iter().filter_map(|run| {
            let state = self.runs.get(run)?;
            let ran = crashed.since(state.since);
            Some(CrashedRun {
                run: *run,
                kind: state.kind,
                ran_ms: ran.as_millis() as u32,
                has_begun: state.has_begun(),
                may_have_ended: state.may_have_ended_after(ran),
            })
        });
        runs.collect()
    }

    /// Handles a report of a target. A report of another incarnation than the known one ends the
    /// known one only if the target, which is probed at once, confirms it.
    pub(super) fn target_reported(&mut self, now: Moment, report: TargetReport) {
        let target = report.profile.id.clone();
        if self.incarnations.has_ended(&target) || self.is_earlier_incarnation(&target) {
            self.record_decision(AgentDecision::LateReport { target });
            return;
        }
        if self.target_id().is_none() && self.is_other_start_time(target.started_at_ms) {
            // The incarnation that has answered so far has not reported; this one started after it.
            self.end_incarnation(now, EndOfIncarnation::Crashed);
        }
        if self.target_id().is_some_and(|known| known != target) && !self.has_answered_as(&target) {
            self.incarnations.record_other(now, report);
            // The probe in flight may wait at the target for long.
            self.probe = None;
            self.probe_not_before = now;
            self.record_decision(AgentDecision::OtherIncarnation { target });
            return;
        }
        if !self.incarnations.take_number(report.number) {
            self.record_decision(AgentDecision::LateReport { target });
            return;
        }
        self.take_report(now, report);
    }

    fn take_report(&mut self, now: Moment, report: TargetReport) {
        let profile = report.profile;
        if self.link.profile.is_none() || self.link.is_doubtful() {
            self.probe_not_before = now;
        }
        // The capacity of one incarnation can change, so each changed profile is stored again.
        let is_known = self.link.profile.as_ref() == Some(&profile);
        let has_update = !is_known || !self.link.has_reported;
        self.link.has_reported = true;
        if has_update {
            let profile = profile.clone();
            self.effects.push(AgentEffect::StoreProfile(profile));
        }
        self.link.profile = Some(profile);
        self.link.is_draining = report.is_draining;
        self.link.cold_until = now + report.cold_for;
    }

    /// Makes the incarnation that has reported meanwhile the known one.
    pub(super) fn take_other_incarnation(&mut self, now: Moment) {
        if let Some(other) = self.incarnations.other.take() {
            self.incarnations.take_number(other.report.number);
            self.take_report(now, other.report);
        }
    }

    /// Handles a remembered profile. The profile is valid for the incarnation that reported it:
    /// orders and probes name this incarnation, and any other one refuses them.
    pub(super) fn target_remembered(&mut self, profile: TargetProfile) {
        let is_other = self.is_other_start_time(profile.id.started_at_ms);
        if self.link.profile.is_none() && !self.link.has_lost_incarnation && !is_other {
            self.link.profile = Some(profile);
        }
    }

    /// Handles the announcement of a target that it shuts down. An announcement without a start
    /// time may come from an earlier incarnation, so the target is probed.
    pub(super) fn target_left(&mut self, now: Moment, target: &TargetId) {
        let Some(known) = self.target_id() else {
            return;
        };
        if known == *target {
            self.replace_incarnation(now, EndOfIncarnation::Left);
        } else if known.name == target.name && target.started_at_ms == 0 {
            self.probe = None;
            self.probe_not_before = now;
        }
    }
}
