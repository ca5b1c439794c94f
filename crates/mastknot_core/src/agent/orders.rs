//! Handling of the orders of entries: starts, stops, standby.

use std::time::Duration;

use super::granting::StartDecision;
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
                last_received,
                need,
                update,
            } => {
                self.record_received(now, &key, last_received);
                self.take_need(now, &key, last_received, need);
                if let Some(update) = update {
                    self.apply_update(session, update);
                }
            }
            EntryOrder::Standby => {
                self.directory.set_standby(session);
                self.set_standby(now, &key);
            }
            EntryOrder::Activate => self.activate(&key),
            EntryOrder::Entries(entries) => self.learn_entries(entries),
            EntryOrder::FetchDocument(request) => self.documents.request(session, request),
            EntryOrder::DocumentPart(part) => self.take_part(session, part),
            EntryOrder::Claim(claim) => self.claim(now, session, &key, &claim),
            EntryOrder::ReleaseClaim(job) => self.release_claim(now, &key, job),
            EntryOrder::Cancel(cancel) => self.cancel_job(now, session, &key, &cancel),
        }
    }

    /// Records that an entry has received all reports up to the given number.
    fn record_received(&mut self, now: Moment, key: &OwnerKey, last_received: u64) {
        let owner = self.owners.get_mut(key);
        if let Some(sent) = owner.and_then(|owner| owner.record_received(last_received)) {
            self.confirm_times.record(now.since(sent));
        }
    }

    fn start(&mut self, now: Moment, key: &OwnerKey, start: StartOrder) {
        self.record_received(now, key, start.last_received);
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        owner.starts += 1;
        match self.decide_start(now, key, &start) {
            StartDecision::Now => {
                self.use_offer(key, &start.required_capacity);
                self.order_run(now, key, start);
            }
            StartDecision::Wait { until } => self.queue_start(now, key, start, until),
            StartDecision::Refuse(cause) => self.refuse_start(key, start.run, cause),
        }
    }

    /// Orders the target to start a run.
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
        self.link.record_hold(hold_until_ms);
        self.effects.push(AgentEffect::Order {
            run: start.run,
            payload: start.payload,
            hold_until_ms,
            token: self.link.order_token(),
            target: self.target_id(),
            timeout: self.answer_times.timeout(),
        });
    }

    /// Puts an entry on standby. The entry orders no starts until it activates the link, and its runs
    /// here are stopped.
    fn set_standby(&mut self, now: Moment, key: &OwnerKey) {
        for run in self.runs.of_owner(key) {
            self.stop_run(now, run, EndOfRun::Stopped);
        }
        self.drop_queued_of(key);
        if let Some(owner) = self.owners.get_mut(key) {
            owner.set_standby();
        }
    }

    fn activate(&mut self, key: &OwnerKey) {
        if let Some(owner) = self.owners.get_mut(key) {
            owner.activate();
        }
    }

    /// Decides what happens with a start that has just arrived.
    fn decide_start(&self, now: Moment, key: &OwnerKey, start: &StartOrder) -> StartDecision {
        if let Some(cause) = self.refusal_cause(now, key) {
            return StartDecision::Refuse(cause);
        }
        if self.is_run_known(&start.run) {
            return StartDecision::Refuse(NotRunCause::NoRoom);
        }
        match self.admit(now, key, start) {
            StartDecision::Now if self.has_other_suspect(now, start) => {
                StartDecision::Refuse(NotRunCause::OtherSuspect)
            }
            admission => admission,
        }
    }

    /// Returns the reason for which no start of an entry can be carried out now, whatever capacity
    /// the start needs.
    pub(super) fn refusal_cause(&self, now: Moment, key: &OwnerKey) -> Option<NotRunCause> {
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

    /// Returns whether a run is in an isolation trial here whose result this start would make
    /// ambiguous.
    pub(super) fn has_other_suspect(&self, now: Moment, start: &StartOrder) -> bool {
        self.has_similar_suspect(now, start) || self.has_other_trial(now, start)
    }

    /// Returns whether a run of any entry is in an isolation trial here that may have crashed the
    /// same target as this start. Such tasks are kept apart, so that the next crash shows which of
    /// them caused it.
    fn has_similar_suspect(&self, now: Moment, start: &StartOrder) -> bool {
        let Some(ran_ms) = start.crashed_after_ms else {
            return false;
        };
        let ran = Duration::from_millis(u64::from(ran_ms));
        let mut runs = self.runs.iter();
        runs.any(|(_, run)| run.is_similar_suspect(now, ran))
    }

    /// Returns whether another job of a contained kind is in an isolation trial here. Jobs of the
    /// kind are kept apart, so that a crash affects only the job that caused it.
    fn has_other_trial(&self, now: Moment, start: &StartOrder) -> bool {
        if start.kind_crashed_after_ms.is_none() {
            return false;
        }
        let job = start.run.task.job;
        let mut others = self.runs.iter().filter(|(id, _)| id.task.job != job);
        others.any(|(_, run)| run.is_on_kind_trial(now))
    }

    pub(super) fn refuse_start(&mut self, key: &OwnerKey, run: RunId, cause: NotRunCause) {
        self.record_decision(AgentDecision::TurnedAway {
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
        self.record_decision(AgentDecision::Stopping {
            run: id,
            end,
            percent,
        });
        self.send_stop(id);
    }

    pub(super) fn send_stop(&mut self, run: RunId) {
        let token = self.link.order_token();
        let timeout = self.answer_times.timeout();
        self.effects.push(AgentEffect::StopRun {
            run,
            token,
            timeout,
        });
    }

    pub(super) fn retry_stops(&mut self, now: Moment) {
        let retry = self.settings.stop_retry;
        let mut due_stops = Vec::new();
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
                due_stops.push(*id);
            }
        }
        for id in due_stops {
            self.send_stop(id);
        }
    }
}
