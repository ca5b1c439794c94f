//! What the target says of itself, and what the end of one of its lives changes.

use super::target_agent::TargetAgent;
use super::{AgentDecision, AgentEffect, TargetReport};
use crate::job::{EndOfRun, TargetId, TargetProfile};
use crate::types::Moment;

impl TargetAgent {
    /// Another life has answered, or the known one has left: its late reports count for nothing.
    pub(super) fn instance_replaced(&mut self, now: Moment) {
        if let Some(target) = self.target_id() {
            self.lives.end(target);
        }
        self.instance_over(now);
    }

    /// The target's life is over: nothing of it runs any more.
    pub(super) fn instance_over(&mut self, now: Moment) {
        self.lives.forget_known();
        self.link.forget_instance();
        self.health = Default::default();
        self.pace = Default::default();
        self.look = None;
        self.look_not_before = now;
        self.survivors.clear();
        self.lose_all(now);
        self.take_other_life(now);
    }

    pub(super) fn lose_all(&mut self, now: Moment) {
        for run in self.runs.ids() {
            self.end_run(now, run, EndOfRun::Lost);
        }
    }

    /// Takes what a target says of itself. A report of another life than the known one ends that only if
    /// the target, asked at once for the known life, says so.
    pub(super) fn target_reported(&mut self, now: Moment, report: TargetReport) {
        let target = report.profile.id.clone();
        if self.lives.has_ended(&target) {
            self.decided(AgentDecision::LateReport { target });
            return;
        }
        if self.target_id().is_some_and(|known| known != target) {
            self.lives.note_other(now, report);
            // The look that is under way may wait for long.
            self.look = None;
            self.look_not_before = now;
            self.decided(AgentDecision::OtherLife { target });
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
        if self.link.profile.is_none() || self.link.failed_looks > 0 {
            self.look_not_before = now;
        }
        let is_news = self.link.profile.as_ref().map(|known| &known.id) != Some(&profile.id)
            || !self.link.has_reported;
        self.link.has_reported = true;
        if is_news {
            let profile = profile.clone();
            self.effects.push(AgentEffect::TargetKnown(profile));
        }
        self.link.profile = Some(profile);
        self.link.is_draining = report.is_draining;
    }

    /// The life that has reported meanwhile takes the place of one that is over.
    fn take_other_life(&mut self, now: Moment) {
        if let Some(other) = self.lives.other.take() {
            self.lives.take_number(other.report.number);
            self.take_report(now, other.report);
        }
    }

    /// A profile from before is good for the life of the target that said it: orders and looks
    /// name that life, and another one refuses them.
    pub(super) fn target_remembered(&mut self, profile: TargetProfile) {
        if self.link.profile.is_none() && !self.link.has_lost_instance {
            self.link.profile = Some(profile);
        }
    }

    pub(super) fn target_left(&mut self, now: Moment, target: &TargetId) {
        if self.target_id().as_ref() == Some(target) {
            self.instance_replaced(now);
        }
    }
}
