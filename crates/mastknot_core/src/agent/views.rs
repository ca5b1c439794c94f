//! Looks at the target: what runs, what ended, whether it lives.

use std::collections::HashMap;
use std::time::Duration;

use super::target_agent::{LookInFlight, TargetAgent};
use super::target_pace::SHORTEST_STRETCH;
use super::{
    AgentDecision, AgentEffect, HowEnded, LookFailure, RunPhase, TargetFinished, TargetReport,
    TargetView,
};
use crate::job::{
    EndOfRun, EndedRun, NotRunCause, RunId, TargetCondition, TargetId, TargetProfile,
};
use crate::types::Moment;

/// After so many failed looks in a row, or with so many unanswered orders, a target counts as absent.
const ABSENT_AFTER: u32 = 2;
/// A run that the target misses in so many looks in a row is over.
const LOST_AFTER: u32 = 2;
/// Between two looks at a target that does not answer.
const FAILED_LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Between two looks at an address where nothing listens.
const REFUSED_LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Progress is judged only if the target was heard within this time.
const FRESH_LOOK: Duration = Duration::from_millis(250);
/// How long a look waits on whose outcome a decision depends.
const OPEN_LOOK_WAIT: Duration = Duration::from_millis(10);
/// A look carries more than an order and may take so many times as long, besides its own wait.
const LOOK_MARGIN: u32 = 2;
/// The most ends that wait for entries to say who they are.
const MAX_ORPHANED_ENDS: usize = 2_000;

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

    fn oldest_lease_with_runs(&self) -> Option<Moment> {
        let owners = self.runs.iter().map(|(_, run)| &run.owner);
        let leases = owners.filter_map(|key| match self.owners.get(key) {
            Some(owner) => Some(owner.lease_from),
            None => self.ended_leases.get(key).copied(),
        });
        leases.min()
    }

    fn newest_lease(&self) -> Option<Moment> {
        self.owners.values().map(|owner| owner.lease_from).max()
    }

    fn needs_look(&self) -> bool {
        let is_probing = self.link.token.is_none() || !self.link.is_settled;
        let is_busy = !self.runs.is_empty() || !self.survivors.is_empty();
        is_probing || is_busy || self.link.failed_looks > 0 || self.lives.other.is_some()
    }

    pub(super) fn look_due(&self) -> Option<Moment> {
        (self.look.is_none() && self.needs_look()).then_some(self.look_not_before)
    }

    pub(super) fn ensure_look(&mut self, now: Moment) {
        if self.look.is_some() || !self.needs_look() || now < self.look_not_before {
            return;
        }
        let number = self.next_look;
        self.next_look += 1;
        self.look = Some(LookInFlight { number, sent: now });
        let is_held = self.link.token.is_some()
            && self.survivors.is_empty()
            && self.link.is_settled
            && !self.owners.is_empty();
        let wait = self.look_wait();
        let hold_until_ms = is_held.then(|| self.hold_until(now));
        if let Some(until) = hold_until_ms {
            self.link.note_hold(until);
        }
        self.effects.push(AgentEffect::Look {
            number,
            hold_until_ms,
            token: self.link.token.unwrap_or_default(),
            last_seen: self.link.last_seen,
            wait,
            target: self.target_id(),
            limit: wait + self.answers.limit() * LOOK_MARGIN,
        });
    }

    /// How long the next look may wait for an end: not at all while the target is unknown.
    fn look_wait(&self) -> Duration {
        let is_unknown = self.link.token.is_none() || !self.link.is_settled;
        if is_unknown || self.link.failed_looks > 0 || self.lives.other.is_some() {
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
        result: Result<TargetView, LookFailure>,
    ) {
        let Some(look) = self.look.filter(|look| look.number == number) else {
            return;
        };
        self.look = None;
        self.look_not_before = now;
        match result {
            Ok(view) => self.viewed(now, look.sent, view),
            Err(LookFailure::Fenced { clock_ms }) => self.take_token(now, clock_ms),
            Err(LookFailure::OtherInstance) => self.instance_replaced(now),
            Err(LookFailure::Refused) => {
                self.instance_over(now);
                self.link.failed_looks = ABSENT_AFTER;
                self.look_not_before = now + REFUSED_LOOK_PAUSE;
            }
            Err(LookFailure::Silent) => self.look_failed(now),
        }
    }

    fn look_failed(&mut self, now: Moment) {
        self.link.failed_looks += 1;
        let in_a_row = self.link.failed_looks;
        self.decided(AgentDecision::LookFailed { in_a_row });
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
        is_silent.then(|| self.link.hold_ends()).flatten()
    }

    fn viewed(&mut self, now: Moment, sent: Moment, view: TargetView) {
        self.link.read_clock(now, view.clock_ms);
        if let Some(target) = self.lives.known_answered(sent) {
            self.decided(AgentDecision::LateReport { target });
        }
        if self.link.token.is_none() {
            self.take_token(now, view.clock_ms);
            return;
        }
        self.take_ends(now, view.finished);
        self.take_running(now, sent, &view.running);
        if !self.link.is_settled {
            self.link.is_settled = true;
            let token = self.link.token.unwrap_or_default();
            let survivors = self.survivors.len();
            self.decided(AgentDecision::Token { token, survivors });
        }
    }

    /// Takes the target's clock as the fencing token: it rises over restarts of this process.
    pub(super) fn take_token(&mut self, now: Moment, clock_ms: u64) {
        self.link.read_clock(now, clock_ms);
        let token = clock_ms.max(1);
        self.link.token = Some(self.link.token.map_or(token, |old| old.max(token)));
        self.look_not_before = now;
    }

    fn take_ends(&mut self, now: Moment, finished: Vec<TargetFinished>) {
        for ended in finished {
            if ended.number <= self.link.last_seen {
                continue;
            }
            self.link.last_seen = ended.number;
            let end = match ended.how {
                HowEnded::Done => EndOfRun::Done,
                HowEnded::Failed => EndOfRun::Failed {
                    is_target_suspect: false,
                },
                HowEnded::Stopped => self.intended_end(&ended.run),
                HowEnded::Lapsed => EndOfRun::Lost,
            };
            if self.runs.get(&ended.run).is_some() {
                self.end_run(now, ended.run, end);
            } else {
                self.keep_orphaned_end(ended.run, end);
            }
        }
    }

    fn intended_end(&self, run: &RunId) -> EndOfRun {
        match self.runs.get(run).map(|run| run.phase) {
            Some(RunPhase::Stopping {
                end: EndOfRun::Stalled,
                ..
            }) => EndOfRun::Stalled,
            _ => EndOfRun::Stopped,
        }
    }

    fn keep_orphaned_end(&mut self, run: RunId, end: EndOfRun) {
        let was_survivor = self.survivors.swap_remove(&run).is_some();
        let is_wanted = was_survivor || !self.link.is_settled;
        if is_wanted && self.orphaned_ends.len() < MAX_ORPHANED_ENDS {
            self.orphaned_ends.push(EndedRun {
                run,
                end,
                ran_ms: 0,
            });
        }
    }

    fn take_running(&mut self, now: Moment, sent: Moment, running: &[super::TargetRunning]) {
        let listed: HashMap<RunId, u8> = running.iter().map(|row| (row.run, row.percent)).collect();
        for run in self.runs.ids() {
            match listed.get(&run) {
                Some(percent) => self.run_listed(now, run, *percent),
                None => self.run_missing(now, sent, run),
            }
        }
        if self.link.is_settled {
            self.survivors.retain(|run, _| listed.contains_key(run));
        }
        for (run, percent) in listed {
            if self.runs.get(&run).is_some() {
                continue;
            }
            if !self.link.is_settled {
                self.survivors.insert(run, percent);
            } else if !self.survivors.contains_key(&run) {
                self.send_stop(run);
            }
        }
    }

    fn run_listed(&mut self, now: Moment, id: RunId, percent: u8) {
        let limit = self.settings.stall_limit;
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.missed = 0;
        if matches!(run.phase, RunPhase::Ordered | RunPhase::Unconfirmed { .. }) {
            run.phase = RunPhase::Running;
        }
        let stretch = now.since(run.paced);
        if run.phase == RunPhase::Running && stretch >= SHORTEST_STRETCH {
            let done = percent.saturating_sub(run.paced_percent);
            self.pace.note(stretch, done, run.estimate());
            run.paced_percent = percent;
            run.paced = now;
        }
        if percent != run.percent {
            run.percent = percent;
            run.progressed = now;
            return;
        }
        let is_stalled = run.phase == RunPhase::Running && now.since(run.progressed) > limit;
        if is_stalled && now.since(self.link.heard) < FRESH_LOOK {
            self.stop_run(now, id, EndOfRun::Stalled);
        }
    }

    /// A run that a look did not list.
    fn run_missing(&mut self, now: Moment, sent: Moment, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        match run.phase {
            RunPhase::Ordered => {}
            RunPhase::Unconfirmed { since } if sent >= since => {
                let end = EndOfRun::NotRun(NotRunCause::TargetUnavailable);
                self.stop_run(now, id, end);
            }
            RunPhase::Unconfirmed { .. } => {}
            RunPhase::Running if sent > run.progressed => {
                run.missed += 1;
                if run.missed >= LOST_AFTER {
                    self.end_run(now, id, EndOfRun::Lost);
                }
            }
            RunPhase::Running => {}
            RunPhase::Stopping {
                end,
                acknowledged: Some(at),
                ..
            } if sent >= at => self.end_run(now, id, end),
            RunPhase::Stopping { .. } => {}
        }
    }

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

    fn lose_all(&mut self, now: Moment) {
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

    pub(super) fn update_condition(&mut self, now: Moment) {
        if self.silence_due().is_some_and(|due| now >= due) {
            self.lose_all(now);
        }
        // Nothing can run twice any more: a life that is silent gives way.
        let is_silent = self.link.failed_looks >= ABSENT_AFTER && self.runs.is_empty();
        if is_silent && self.lives.other.is_some() {
            self.instance_over(now);
        }
        let condition = self.condition_now(now);
        if condition == self.condition {
            return;
        }
        self.condition = condition;
        let target = self.target_id();
        self.decided(AgentDecision::Condition { target, condition });
    }

    fn unconfirmed_runs(&self) -> usize {
        let is_unconfirmed = |run: &super::Run| matches!(run.phase, RunPhase::Unconfirmed { .. });
        self.runs
            .iter()
            .filter(|(_, run)| is_unconfirmed(run))
            .count()
    }

    fn condition_now(&self, now: Moment) -> TargetCondition {
        let is_present = self.link.profile.is_some()
            && self.link.token.is_some()
            && self.link.failed_looks < ABSENT_AFTER
            && self.unconfirmed_runs() < ABSENT_AFTER as usize
            && self.survivors.is_empty();
        if !is_present {
            return TargetCondition::Absent;
        }
        if self.link.is_draining || self.is_stopping {
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

impl super::Run {
    /// Whether only a look can tell how it stands.
    fn phase_is_open(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Unconfirmed { .. } | RunPhase::Stopping { .. }
        )
    }
}
