//! Targets that start again under their old name: which life answers, and what that changes.
//!
//! Orders name their target but not its life, and answers to orders do not say whose they are. Looks do: what the next
//! life took before the first look at it is settled then.

use super::target_agent::{LookInFlight, TargetAgent};
use super::target_link::TargetLink;
use super::target_reports::EndOfLife;
use super::{AgentDecision, Run, RunPhase, TargetView};
use crate::job::{EndOfRun, RunId, TargetId};
use crate::types::Moment;

impl TargetAgent {
    /// Whether a life that started then is another one than that which answers; no if either is not known.
    pub(super) fn is_other_birth(&self, born_ms: u64) -> bool {
        let known = self.known_birth();
        known != 0 && born_ms != 0 && known != born_ms
    }

    /// Whether a life ended before that began which is known now.
    pub(super) fn is_earlier_life(&self, target: &TargetId) -> bool {
        match &self.link.profile {
            Some(known) => target.precedes(&known.id),
            None => target.started_at_ms != 0 && target.started_at_ms < self.link.born_ms,
        }
    }

    /// Whether the life that answers looks is this one, although the first report of it did not say when it began.
    pub(super) fn has_answered_as(&self, target: &TargetId) -> bool {
        let known = self.link.profile.as_ref().map(|profile| &profile.id);
        let is_unsaid = known.is_some_and(|id| id.name == target.name && id.started_at_ms == 0);
        is_unsaid && target.started_at_ms != 0 && target.started_at_ms == self.link.born_ms
    }

    /// Whether the profile is more than a memory: its life has reported or answered.
    pub(super) fn is_life_known(&self) -> bool {
        self.link.profile.is_none() || self.link.has_reported || self.link.is_confirmed
    }

    /// Another life than the known one answers. If that is only remembered, what runs is the other one's and goes on.
    pub(super) fn other_life_answered(&mut self, now: Moment) {
        match self.is_life_known() {
            true => self.instance_replaced(now, EndOfLife::Crashed),
            false => self.forget_profile(now),
        }
    }

    /// What was remembered is of a life that is over, and not of the one that has been looked at.
    pub(super) fn forget_profile(&mut self, now: Moment) {
        if let Some(target) = self.target_id() {
            self.lives.end(target.clone());
            self.decided(AgentDecision::WrongProfile { target });
        }
        self.lives.forget_known();
        self.link.forget_profile();
        self.look_not_before = now;
        self.take_other_life(now);
    }

    fn known_birth(&self) -> u64 {
        let reported = self.link.profile.as_ref();
        let reported = reported.map_or(0, |profile| profile.id.started_at_ms);
        match reported {
            0 => self.link.born_ms,
            born_ms => born_ms,
        }
    }

    /// A look was answered by a life that started then.
    pub(super) fn note_birth(&mut self, born_ms: u64) {
        if born_ms != 0 {
            self.link.born_ms = born_ms;
        }
    }

    /// A look was answered by the next life. What it may have taken the order of is stopped; all other runs are over.
    pub(super) fn reborn(&mut self, now: Moment, look: LookInFlight, view: &TargetView) {
        let is_listed = |id: &RunId| view.running.iter().any(|row| row.run == *id);
        let going_on = self.runs_where(|id, run| is_listed(id) || run.is_unanswered());
        let is_overlong = look.is_held || self.has_ordered_since(self.link.viewed);
        if let Some(target) = self.target_id() {
            self.lives.end(target.clone());
            let stopped = going_on.len();
            self.decided(AgentDecision::TargetRestarted { target, stopped });
        }
        self.life_over_but_for(now, &going_on);
        self.note_birth(view.started_at_ms);
        if is_overlong {
            // The next life was asked to hold its runs by the clock of the one before, which may be far ahead.
            self.link.overlong_until = now + TargetLink::held_for(self.settings.max_hold);
        }
    }

    /// Nothing listened at the target's address when a look came there: its life is over. One that has started since may
    /// have taken later orders.
    pub(super) fn target_refused(&mut self, now: Moment, looked: Moment) {
        if self.known_birth() == 0 {
            // Orders name the life that is over, and another one refuses them.
            self.instance_over(now, EndOfLife::Crashed);
            return;
        }
        let going_on = self.runs_where(|_, run| run.since >= looked || run.is_unanswered());
        self.life_over_but_for(now, &going_on);
        let longest = TargetLink::held_for(self.settings.max_hold);
        self.link.unclear_until = Some(now + longest);
    }

    /// A life is over and all runs with it but those that the next one may have, which are stopped.
    fn life_over_but_for(&mut self, now: Moment, going_on: &[RunId]) {
        let over = self.runs_where(|id, _| !going_on.contains(id));
        self.instance_over_with(now, EndOfLife::Crashed, &over);
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
    /// Whether it is not known what became of the last order.
    fn is_unanswered(&self) -> bool {
        match self.phase {
            RunPhase::Ordered | RunPhase::Unconfirmed { .. } => true,
            RunPhase::Running => false,
            RunPhase::Stopping { acknowledged, .. } => acknowledged.is_none(),
        }
    }
}
