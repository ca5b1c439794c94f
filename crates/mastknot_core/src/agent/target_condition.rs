//! Condition of the target, which decides whether it takes work.

use super::probes::ABSENT_AFTER;
use super::target_agent::TargetAgent;
use super::target_reports::EndOfIncarnation;
use super::{AgentDecision, Run, RunPhase};
use crate::job::TargetCondition;
use crate::types::Moment;

impl TargetAgent {
    pub(super) fn update_condition(&mut self, now: Moment) {
        if self.silence_due().is_some_and(|due| now >= due) {
            self.lose_all(now);
        }
        // No run can be started twice any more, so that a silent incarnation yields to the next
        // one.
        let is_silent = self.link.failed_probes >= ABSENT_AFTER && self.runs.is_empty();
        if is_silent && self.incarnations.other.is_some() {
            self.end_incarnation(now, EndOfIncarnation::Crashed);
        }
        let condition = self.condition_now(now);
        if condition == self.condition {
            return;
        }
        self.condition = condition;
        let target = self.target_id();
        self.record_decision(AgentDecision::ConditionChanged { target, condition });
    }

    /// Updates whether the target is cold. A target warms up without work, so the slowdown that was
    /// measured while it was cold is dropped.
    pub(super) fn update_coldness(&mut self, now: Moment) {
        let was_cold = std::mem::replace(&mut self.is_cold, now < self.link.cold_until);
        if was_cold && !self.is_cold {
            self.slowdown = Default::default();
        }
    }

    fn unconfirmed_runs(&self) -> usize {
        let is_unconfirmed = |run: &Run| matches!(run.phase, RunPhase::Unconfirmed { .. });
        self.runs
            .iter()
            .filter(|(_, run)| is_unconfirmed(run))
            .count()
    }

    fn condition_now(&self, now: Moment) -> TargetCondition {
        let is_present = self.link.profile.is_some()
            && self.link.token.is_some()
            && self.link.failed_probes < ABSENT_AFTER
            && !self.link.contact_loss.is_refused()
            && self.unconfirmed_runs() < ABSENT_AFTER as usize
            && now >= self.link.overlong_until
            && self.survivors.is_empty();
        if !is_present {
            return TargetCondition::Absent;
        }
        if self.link.is_draining || self.is_stopping || self.is_hall_drained() {
            return TargetCondition::Draining;
        }
        if !self.health.is_on_probation() {
            return TargetCondition::Ready;
        }
        match now < self.health.paused_until() {
            true => TargetCondition::Absent,
            false => TargetCondition::Probation,
        }
    }
}
