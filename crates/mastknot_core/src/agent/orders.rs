//! What entries order: starts, stops, standby.

use std::time::Duration;

use super::granting::StartVerdict;
use super::owners::{Duty, Owner, OwnerKey};
use super::target_agent::TargetAgent;
use super::{AgentDecision, AgentEffect, Run, RunPhase, SessionId};
use crate::job::{EndOfRun, EndedRun, EntryOrder, NotRunCause, RunId, StartOrder, TargetCondition};
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
            EntryOrder::Heartbeat {
                last_received: heard,
                need,
                update: news,
            } => {
                self.take_heard(now, &key, heard);
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
            EntryOrder::Claim(claim) => self.claim(now, session, &key, &claim),
            EntryOrder::ReleaseClaim(job) => self.release_claim(now, &key, job),
        }
    }

    /// An entry has received all reports up to this number.
    fn take_heard(&mut self, now: Moment, key: &OwnerKey, heard: u64) {
        let owner = self.owners.get_mut(key);
        if let Some(sent) = owner.and_then(|owner| owner.note_heard(heard)) {
            self.confirm_times.note(now.since(sent));
        }
    }

    fn start(&mut self, now: Moment, key: &OwnerKey, start: StartOrder) {
        self.take_heard(now, key, start.last_received);
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        owner.starts += 1;
        match self.judge_start(now, key, &start) {
            StartVerdict::Now => {
                self.use_offer(key, &start.required_capacity);
                self.order_run(now, key, start);
            }
            StartVerdict::Wait { until } => self.queue_start(now, key, start, until),
            StartVerdict::Away(cause) => self.turn_away(key, start.run, cause),
        }
    }

    /// Tells the target to start a run.
    pub(super) fn order_run(&mut self, now: Moment, key: &OwnerKey, start: StartOrder) {
        let millis = |ms: Option<u32>| ms.map(u64::from).map(Duration::from_millis);
        let run = Run {
            kind: start.kind,
            kind_crashed_after: millis(start.kind_crashed_after_ms),
            crashed_after: millis(start.crashed_after_ms),
            ..Run::new(now, key.clone(), start.required_capacity, start.estimate_ms)
        };
        let charged = self.charge_start(key, &start.required_capacity, start.estimate_ms);
        self.runs.insert(start.run, Run { charged, ..run });
        let hold_until_ms = self.hold_until(now);
        self.link.note_hold(hold_until_ms);
        self.effects.push(AgentEffect::Order {
            run: start.run,
            payload: start.payload,
            hold_until_ms,
            token: self.link.order_token(),
            target: self.target_id(),
            timeout: self.answers.limit(),
        });
    }

    /// The entry orders no starts until it wakes the link; what it has forgotten here is stopped.
    fn stand_by(&mut self, now: Moment, key: &OwnerKey) {
        for run in self.runs.of_owner(key) {
            self.stop_run(now, run, EndOfRun::Stopped);
        }
        self.drop_queued_of(key);
        if let Some(owner) = self.owners.get_mut(key) {
            owner.stand_by();
        }
    }

    fn wake(&mut self, key: &OwnerKey) {
        if let Some(owner) = self.owners.get_mut(key) {
            owner.wake();
        }
    }

    /// What becomes of a start that has just come.
    fn judge_start(&self, now: Moment, key: &OwnerKey, start: &StartOrder) -> StartVerdict {
        if let Some(cause) = self.fault_against(now, key) {
            return StartVerdict::Away(cause);
        }
        if self.is_run_known(&start.run) {
            return StartVerdict::Away(NotRunCause::NoRoom);
        }
        match self.admit(now, key, start) {
            StartVerdict::Now if self.holds_other_suspect(now, start) => {
                StartVerdict::Away(NotRunCause::OtherSuspect)
            }
            admission => admission,
        }
    }

    /// Why no start of an entry can be done now, whatever it takes.
    pub(super) fn fault_against(&self, now: Moment, key: &OwnerKey) -> Option<NotRunCause> {
        if self.is_stopping || self.link.is_draining || self.is_hall_drained() {
            return Some(NotRunCause::Draining);
        }
        let owner = self.owners.get(key);
        let may_start = |owner: &Owner| owner.duty == Duty::Active && !self.is_held_past(owner);
        if !owner.is_some_and(may_start) {
            return Some(NotRunCause::Late);
        }
        let is_paused = self.health.is_on_probation() && now < self.health.paused_until();
        let is_unknown = self.link.token.is_none() || self.link.is_clock_stale(now);
        if self.condition == TargetCondition::Absent || is_unknown {
            return Some(NotRunCause::TargetUnavailable);
        }
        is_paused.then_some(NotRunCause::NoRoom)
    }

    /// Whether a run is on trial here beside which this start would make a crash unclear.
    pub(super) fn holds_other_suspect(&self, now: Moment, start: &StartOrder) -> bool {
        self.holds_like_suspect(now, start) || self.holds_other_trial(now, start)
    }

    /// Whether a run of any entry is on trial that may have crashed the same target: they are kept apart, so
    /// that the next crash tells which of them did it.
    fn holds_like_suspect(&self, now: Moment, start: &StartOrder) -> bool {
        let Some(ran_ms) = start.crashed_after_ms else {
            return false;
        };
        let ran = Duration::from_millis(u64::from(ran_ms));
        let mut runs = self.runs.iter();
        runs.any(|(_, run)| run.is_like_suspect(now, ran))
    }

    /// Whether another job of a contained kind is on trial: if its tasks crash the target, none but that job pays for it.
    fn holds_other_trial(&self, now: Moment, start: &StartOrder) -> bool {
        if start.kind_crashed_after_ms.is_none() {
            return false;
        }
        let job = start.run.task.job;
        let mut others = self.runs.iter().filter(|(id, _)| id.task.job != job);
        others.any(|(_, run)| run.is_on_kind_trial(now))
    }

    pub(super) fn turn_away(&mut self, key: &OwnerKey, run: RunId, cause: NotRunCause) {
        self.decided(AgentDecision::TurnedAway {
            run,
            cause,
            free_cpu_millis: self.free_capacity().cpu_millis,
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
        if self.recall_queued(key, run) {
            return;
        }
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
            first: now,
            sent: now,
            times: 1,
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
        let token = self.link.order_token();
        let limit = self.answers.limit();
        self.effects.push(AgentEffect::StopRun {
            run,
            token,
            timeout: limit,
        });
    }

    pub(super) fn retry_stops(&mut self, now: Moment) {
        let retry = self.settings.stop_retry;
        let mut again = Vec::new();
        for (id, run) in self.runs.iter_mut() {
            if let RunPhase::Stopping {
                sent,
                times,
                acknowledged: None,
                ..
            } = &mut run.phase
                && now.since(*sent) >= retry
            {
                *sent = now;
                *times += 1;
                again.push(*id);
            }
        }
        for id in again {
            self.send_stop(id);
        }
    }
}
