//! What the target says of itself, and what the end of one of its lives changes.

use super::target_agent::TargetAgent;
use super::{AgentDecision, AgentEffect, SessionId, TargetReport};
use crate::job::{CrashedRun, EndOfRun, RunId, SideReport, TargetCrash, TargetId, TargetProfile};
use crate::types::Moment;

/// The most runs of one crash that entries are told of, the youngest: a crash by a task comes soon after its start.
const MAX_NAMED: usize = 128;

/// How a life of the target has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndOfLife {
    /// Without a word before.
    Crashed,
    /// As the target had said.
    Left,
}

impl TargetAgent {
    /// Another life has answered, or the known one has left: its late reports count for nothing.
    pub(super) fn instance_replaced(&mut self, now: Moment, end: EndOfLife) {
        if let Some(target) = self.target_id() {
            self.lives.end(target);
        }
        self.instance_over(now, end);
    }

    /// The target's life is over: nothing of it runs any more.
    pub(super) fn instance_over(&mut self, now: Moment, end: EndOfLife) {
        let runs = self.runs.ids();
        self.instance_over_with(now, end, &runs);
    }

    /// The target's life is over, and these runs with it.
    pub(super) fn instance_over_with(&mut self, now: Moment, end: EndOfLife, runs: &[RunId]) {
        // A target that is leaving ends without a further word if its last one is lost.
        let has_crashed = end == EndOfLife::Crashed && !self.link.is_draining;
        let end_of_runs = match has_crashed {
            true => {
                self.note_crash(now, runs);
                EndOfRun::Crashed
            }
            false => EndOfRun::Lost,
        };
        self.lives.forget_known();
        self.link.forget_instance();
        self.health = Default::default();
        self.pace = Default::default();
        self.look = None;
        self.look_not_before = now;
        self.survivors.clear();
        for run in runs {
            self.end_run(now, *run, end_of_runs);
        }
        self.take_other_life(now);
    }

    /// Everything that ran on a target that has been silent until its hold ran out is over. Whether it has crashed
    /// shows when it is heard again.
    pub(super) fn lose_all(&mut self, now: Moment) {
        let silent_since = self.link.heard;
        let runs = self.runs.ids();
        let lost = self.crashed_runs(silent_since, &runs);
        // What was ordered after the last word may have come to a target that was dead.
        let lost = lost.into_iter().filter(|crashed| crashed.has_begun);
        self.lives.lost_in_silence.extend(lost);
        for run in runs {
            self.end_run(now, run, EndOfRun::Lost);
        }
    }

    /// Notes what ran on a target that has crashed.
    fn note_crash(&mut self, now: Moment, ended: &[RunId]) {
        let Some(target) = self.target_id() else {
            return;
        };
        let mut runs = std::mem::take(&mut self.lives.lost_in_silence);
        let crashed = self.link.contact_loss.crash_time(self.link.heard, now);
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
        self.tell_crash(&crash);
        self.crashes.note(now, crash.clone());
        self.decided(AgentDecision::TargetCrashed(crash));
    }

    /// All entries learn of a crash at once, those on standby too: a task that crashed this target may be handed in
    /// again at any of them.
    fn tell_crash(&mut self, crash: &TargetCrash) {
        let linked = self.owners.values().filter(|owner| owner.is_resumed);
        let linked: Vec<SessionId> = linked.filter_map(|owner| owner.session).collect();
        for session in linked {
            self.send(session, SideReport::TargetCrashed(crash.clone()));
        }
    }

    /// How long these runs had run when the target crashed.
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

    /// Takes what a target says of itself. A report of another life than the known one ends that only if
    /// the target, asked at once for the known life, says so.
    pub(super) fn target_reported(&mut self, now: Moment, report: TargetReport) {
        let target = report.profile.id.clone();
        if self.lives.has_ended(&target) || self.is_earlier_life(&target) {
            self.decided(AgentDecision::LateReport { target });
            return;
        }
        if self.target_id().is_none() && self.is_other_birth(target.started_at_ms) {
            // The life that has answered so far has not reported; this one began after it.
            self.instance_over(now, EndOfLife::Crashed);
        }
        if self.target_id().is_some_and(|known| known != target) && !self.has_answered_as(&target) {
            self.lives.note_other(now, report);
            // The look that is under way may wait for long.
            self.look = None;
            self.look_not_before = now;
            self.decided(AgentDecision::OtherIncarnation { target });
            return;
        }
        if !self.lives.take_number(report.number) {
            self.decided(AgentDecision::LateReport { target });
            return;
        }
        self.take_report(now, report);
    }

    fn take_report(&mut self, now: Moment, report: TargetReport) {
        let profile = report.profile;
        if self.link.profile.is_none() || self.link.is_doubtful() {
            self.look_not_before = now;
        }
        // Room shrinks and grows within one life: what remembers the target is told each time.
        let is_known = self.link.profile.as_ref() == Some(&profile);
        let is_news = !is_known || !self.link.has_reported;
        self.link.has_reported = true;
        if is_news {
            let profile = profile.clone();
            self.effects.push(AgentEffect::StoreProfile(profile));
        }
        self.link.profile = Some(profile);
        self.link.is_draining = report.is_draining;
        self.link.cold_until = now + report.cold_for;
    }

    /// The life that has reported meanwhile takes the place of one that is over.
    pub(super) fn take_other_life(&mut self, now: Moment) {
        if let Some(other) = self.lives.other.take() {
            self.lives.take_number(other.report.number);
            self.take_report(now, other.report);
        }
    }

    /// A profile from before is good for the life of the target that said it: orders and looks
    /// name that life, and another one refuses them.
    pub(super) fn target_remembered(&mut self, profile: TargetProfile) {
        let is_other = self.is_other_birth(profile.id.started_at_ms);
        if self.link.profile.is_none() && !self.link.has_lost_instance && !is_other {
            self.link.profile = Some(profile);
        }
    }

    /// The target says that it leaves. A word that does not say which life it comes from may be one of an earlier life:
    /// the target is asked.
    pub(super) fn target_left(&mut self, now: Moment, target: &TargetId) {
        let Some(known) = self.target_id() else {
            return;
        };
        if known == *target {
            self.instance_replaced(now, EndOfLife::Left);
        } else if known.name == target.name && target.started_at_ms == 0 {
            self.look = None;
            self.look_not_before = now;
        }
    }
}
