//! What entries and the target's answers to orders change.

use super::owners::{Duty, Owner, OwnerKey};
use super::target_agent::TargetAgent;
use super::{
    AgentDecision, AgentEffect, LeaseEndCause, OrderOutcome, OrderRefusal, Run, RunPhase, SessionId,
};
use crate::job::{
    AdoptedRun, EndOfRun, EndedRun, EntryOrder, EntryWelcome, NotRunCause, RunId, SideReport,
    StartOrder, TargetCondition,
};
use crate::types::Moment;

impl TargetAgent {
    pub(super) fn handle_order(&mut self, now: Moment, session: SessionId, order: EntryOrder) {
        if let EntryOrder::Welcome(welcome) = order {
            self.welcome(now, session, welcome);
            return;
        }
        let Some(key) = self.sessions.get(&session).cloned() else {
            return;
        };
        match order {
            EntryOrder::Welcome(_) => {}
            EntryOrder::Adopt(runs) => self.adopt(now, &key, runs),
            EntryOrder::Start(start) => self.start(now, &key, start),
            EntryOrder::Stop(run) => self.stop_for(now, &key, run),
            EntryOrder::Heartbeat { heard, need, news } => {
                let owner = self.owners.get_mut(&key);
                if let Some(sent) = owner.and_then(|owner| owner.note_heard(heard)) {
                    self.confirm_times.note(now.since(sent));
                }
                self.take_need(now, &key, heard, need);
                if let Some(news) = news {
                    self.take_news(session, news);
                }
            }
            EntryOrder::Standby => {
                self.directory.stand_by(session);
                self.stand_by(now, &key);
            }
            EntryOrder::Activate => self.wake(&key),
            EntryOrder::Entries(entries) => self.learn_entries(entries),
            EntryOrder::FetchDocument(request) => self.documents.request(session, request),
            EntryOrder::DocumentPart(part) => self.take_part(session, part),
        }
    }

    fn welcome(&mut self, now: Moment, session: SessionId, welcome: EntryWelcome) {
        let Some(greeting) = self.greetings.swap_remove(&session) else {
            return;
        };
        let key = OwnerKey {
            entry: welcome.entry,
            incarnation: welcome.incarnation,
        };
        self.end_other_lives(now, &key);
        self.take_news(session, welcome.news);
        if let Some(profile) = welcome.remembered_target {
            self.target_remembered(profile);
        }
        let owner = Owner::new(greeting.hello_sent);
        let owner = self.owners.entry(key.clone()).or_insert(owner);
        let replaced = owner.session.take();
        owner.take_session(session, greeting.hello_sent);
        self.sessions.insert(session, key);
        if let Some(replaced) = replaced {
            self.sessions.swap_remove(&replaced);
            self.forget_link(replaced);
            self.effects.push(AgentEffect::Close { session: replaced });
        }
    }

    /// Everything of the entry's earlier lives is over: their jobs died with them.
    fn end_other_lives(&mut self, now: Moment, key: &OwnerKey) {
        let is_other =
            |other: &&OwnerKey| other.entry == key.entry && other.incarnation != key.incarnation;
        let others: Vec<OwnerKey> = self.owners.keys().filter(is_other).cloned().collect();
        for other in others {
            self.end_lease(now, &other, LeaseEndCause::Restarted);
        }
    }

    /// Says on each new link what goes on, as soon as that is known.
    pub(super) fn resume_links(&mut self, _now: Moment) {
        if !self.link.is_settled {
            return;
        }
        let waiting = self.owners.iter().filter(|(_, owner)| !owner.is_resumed);
        let waiting: Vec<OwnerKey> = waiting
            .filter(|(_, owner)| owner.session.is_some())
            .map(|(key, _)| key.clone())
            .collect();
        for key in waiting {
            self.resume(&key);
        }
    }

    fn resume(&mut self, key: &OwnerKey) {
        let mut running = self.runs.of_owner(key);
        running.extend(self.survivors.keys().copied());
        let orphaned = self.orphaned_ends.clone();
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        owner.is_resumed = true;
        let mut ended = std::mem::take(&mut owner.ended);
        ended.extend(orphaned);
        let Some(session) = owner.session else {
            return;
        };
        self.send(session, SideReport::Resume { running, ended });
        let entry = key.entry.clone();
        self.decided(AgentDecision::EntryJoined { entry });
    }

    fn adopt(&mut self, now: Moment, key: &OwnerKey, runs: Vec<AdoptedRun>) {
        for adopted in runs {
            let Some(percent) = self.survivors.swap_remove(&adopted.run) else {
                self.tell_end_of_adopted(key, adopted.run);
                continue;
            };
            let run = Run {
                phase: RunPhase::Running,
                percent,
                paced_percent: percent,
                ..Run::new(now, key.clone(), adopted.room, adopted.estimate_ms)
            };
            self.runs.insert(adopted.run, run);
        }
    }

    /// A run that was listed as going on has ended before its entry took it over.
    fn tell_end_of_adopted(&mut self, key: &OwnerKey, run: RunId) {
        if self.runs.get(&run).is_some() {
            return;
        }
        let known = self.orphaned_ends.iter().find(|ended| ended.run == run);
        let ended = known.copied().unwrap_or(EndedRun {
            run,
            end: EndOfRun::Lost,
            ran_ms: 0,
        });
        if let Some(owner) = self.owners.get_mut(key) {
            owner.ended.push(ended);
        }
    }

    fn start(&mut self, now: Moment, key: &OwnerKey, start: StartOrder) {
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        owner.starts += 1;
        if let Some(cause) = self.reason_against(now, key, &start) {
            self.turn_away(key, start.run, cause);
            return;
        }
        let run = Run::new(now, key.clone(), start.room, start.estimate_ms);
        self.use_offer(key, &start.room);
        self.runs.insert(start.run, run);
        let hold_until_ms = self.hold_until(now);
        self.link.note_hold(hold_until_ms);
        self.effects.push(AgentEffect::Order {
            run: start.run,
            payload: start.payload,
            hold_until_ms,
            token: self.link.token.unwrap_or_default(),
            target: self.target_id(),
            limit: self.answers.limit(),
        });
    }

    /// The entry orders no starts until it wakes the link; what it has forgotten here is stopped.
    fn stand_by(&mut self, now: Moment, key: &OwnerKey) {
        for run in self.runs.of_owner(key) {
            self.stop_run(now, run, EndOfRun::Stopped);
        }
        if let Some(owner) = self.owners.get_mut(key) {
            owner.stand_by();
        }
    }

    fn wake(&mut self, key: &OwnerKey) {
        if let Some(owner) = self.owners.get_mut(key) {
            owner.wake();
        }
    }

    fn reason_against(
        &self,
        now: Moment,
        key: &OwnerKey,
        start: &StartOrder,
    ) -> Option<NotRunCause> {
        if self.is_stopping || self.link.is_draining {
            return Some(NotRunCause::Draining);
        }
        let owner = self.owners.get(key);
        if owner.is_none_or(|owner| owner.duty != Duty::Active) {
            return Some(NotRunCause::Late);
        }
        let is_paused = self.health.is_on_probation() && now < self.health.paused_until();
        if self.condition == TargetCondition::Absent || self.link.token.is_none() {
            return Some(NotRunCause::TargetUnavailable);
        }
        let is_known = self.runs.get(&start.run).is_some();
        if is_paused || is_known || !self.available_to(key).holds(&start.room) {
            return Some(NotRunCause::NoRoom);
        }
        None
    }

    fn turn_away(&mut self, key: &OwnerKey, run: RunId, cause: NotRunCause) {
        self.decided(AgentDecision::TurnedAway {
            run,
            cause,
            free_cpu_millis: self.free().cpu_millis,
        });
        if let Some(owner) = self.owners.get_mut(key) {
            owner.ended.push(EndedRun {
                run,
                end: EndOfRun::NotRun(cause),
                ran_ms: 0,
            });
        }
    }

    fn stop_for(&mut self, now: Moment, key: &OwnerKey, run: RunId) {
        if self.runs.get(&run).is_some_and(|held| held.owner == *key) {
            self.stop_run(now, run, EndOfRun::Stopped);
        }
    }

    pub(super) fn stop_run(&mut self, now: Moment, id: RunId, end: EndOfRun) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if matches!(run.phase, RunPhase::Stopping { .. }) {
            return;
        }
        run.phase = RunPhase::Stopping {
            end,
            sent: now,
            acknowledged: None,
        };
        let percent = run.percent;
        self.decided(AgentDecision::Stopping {
            run: id,
            end,
            percent,
        });
        self.send_stop(id);
    }

    pub(super) fn send_stop(&mut self, run: RunId) {
        let token = self.link.token.unwrap_or_default();
        let limit = self.answers.limit();
        self.effects
            .push(AgentEffect::StopRun { run, token, limit });
    }

    pub(super) fn retry_stops(&mut self, now: Moment) {
        let retry = self.settings.stop_retry;
        let mut again = Vec::new();
        for (id, run) in self.runs.iter_mut() {
            if let RunPhase::Stopping {
                sent,
                acknowledged: None,
                ..
            } = &mut run.phase
                && now.since(*sent) >= retry
            {
                *sent = now;
                again.push(*id);
            }
        }
        for id in again {
            self.send_stop(id);
        }
    }

    pub(super) fn stop_answered(&mut self, now: Moment, id: RunId, is_acknowledged: bool) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let RunPhase::Stopping { acknowledged, .. } = &mut run.phase
            && is_acknowledged
        {
            acknowledged.get_or_insert(now);
            self.look_not_before = now;
        }
    }

    pub(super) fn order_answered(&mut self, now: Moment, id: RunId, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Started { clock_ms } => self.order_started(now, id, clock_ms),
            OrderOutcome::Refused(refusal) => self.order_refused(now, id, refusal),
            OrderOutcome::Unreachable => {
                self.link.failed_looks += 1;
                self.look_not_before = now;
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
            }
            OrderOutcome::NoAnswer => self.order_unanswered(now, id),
        }
    }

    fn order_started(&mut self, now: Moment, id: RunId, clock_ms: u64) {
        self.link.read_clock(now, clock_ms);
        if let Some(run) = self.runs.get_mut(&id)
            && matches!(run.phase, RunPhase::Ordered | RunPhase::Unconfirmed { .. })
        {
            run.phase = RunPhase::Running;
            run.progressed = now;
            self.answers.note(now.since(run.since));
        }
    }

    fn order_unanswered(&mut self, now: Moment, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.phase == RunPhase::Ordered {
            run.phase = RunPhase::Unconfirmed { since: now };
            // Only a look that is sent from now on can tell; the one under way may wait for long.
            self.look = None;
            self.look_not_before = now;
            self.decided(AgentDecision::Unconfirmed { run: id });
        }
    }

    fn order_refused(&mut self, now: Moment, id: RunId, refusal: OrderRefusal) {
        match refusal {
            OrderRefusal::Old => self.end_unstarted(now, id, NotRunCause::OldAttempt),
            OrderRefusal::Late => self.end_unstarted(now, id, NotRunCause::Late),
            OrderRefusal::NoRoom => self.end_unstarted(now, id, NotRunCause::NoRoom),
            OrderRefusal::Rejected => self.end_unstarted(now, id, NotRunCause::Rejected),
            OrderRefusal::Unhealthy => {
                self.health.note_failed(now);
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
            }
            OrderRefusal::Fenced { clock_ms } => {
                self.take_token(now, clock_ms);
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
            }
            OrderRefusal::OtherInstance => {
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
                self.instance_replaced(now);
            }
        }
    }

    fn end_unstarted(&mut self, now: Moment, id: RunId, cause: NotRunCause) {
        let phase = self.runs.get(&id).map(|run| run.phase);
        match phase {
            Some(RunPhase::Ordered) => self.end_run(now, id, EndOfRun::NotRun(cause)),
            // An earlier copy of the order may have been done: only a look can tell.
            _ => self.look_not_before = now,
        }
    }

    /// Takes a run out and tells its entry.
    pub(super) fn end_run(&mut self, now: Moment, id: RunId, end: EndOfRun) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let ran = now.since(run.since);
        let ended = EndedRun {
            run: id,
            end: self.judge(now, end, &run),
            ran_ms: ran.as_millis() as u32,
        };
        self.decided(AgentDecision::RunEnded {
            run: id,
            end: ended.end,
            ran_ms: ended.ran_ms,
        });
        if let Some(owner) = self.owners.get_mut(&run.owner) {
            owner.ended.push(ended);
        }
    }

    /// What an end says of the target.
    fn judge(&mut self, now: Moment, end: EndOfRun, run: &Run) -> EndOfRun {
        match end {
            EndOfRun::Done => {
                let left = 100 - run.paced_percent.min(100);
                self.pace.note(now.since(run.paced), left, run.estimate());
                self.health.note_done();
                end
            }
            EndOfRun::Failed { .. } => EndOfRun::Failed {
                is_target_suspect: self.health.note_failed(now),
            },
            EndOfRun::Stalled => {
                self.health.note_stalled(now);
                end
            }
            _ => end,
        }
    }
}
