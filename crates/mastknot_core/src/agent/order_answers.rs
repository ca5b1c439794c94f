//! Handling of the target's answers to orders, and of the end of a run.

use super::target_agent::TargetAgent;
use super::{AgentDecision, OrderOutcome, OrderRefusal, Run, RunPhase};
use crate::job::{EndOfRun, EndedRun, NotRunCause, RunId};
use crate::types::Moment;

impl TargetAgent {
    pub(super) fn stop_answered(&mut self, now: Moment, id: RunId, is_acknowledged: bool) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let RunPhase::Stopping {
            first,
            times,
            acknowledged,
            ..
        } = &mut run.phase
        else {
            return;
        };
        if is_acknowledged {
            acknowledged.get_or_insert(now);
            self.probe_not_before = now;
        } else if acknowledged.is_none() {
            let unanswered = AgentDecision::StopUnanswered {
                run: id,
                times: *times,
                since_ms: now.since(*first).as_millis() as u64,
            };
            self.record_decision(unanswered);
        }
    }

    pub(super) fn order_answered(&mut self, now: Moment, id: RunId, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Started { clock_ms } => self.order_started(now, id, clock_ms),
            OrderOutcome::Refused(refusal) => self.order_refused(now, id, refusal),
            OrderOutcome::Unreachable => {
                if !self.link.is_doubtful() {
                    // The probe in flight may wait at the target for long.
                    self.probe = None;
                }
                self.link.contact_loss.record_refused(now);
                self.probe_not_before = now;
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
            }
            OrderOutcome::NoAnswer => self.order_unanswered(now, id),
        }
    }

    fn order_started(&mut self, now: Moment, id: RunId, clock_ms: u64) {
        let ordered = self.runs.get(&id).map(|run| run.since);
        if ordered.is_some_and(|ordered| self.link.is_clock_restarted(ordered, clock_ms)) {
            // The answer does not say which incarnation sent it; only a probe can show that.
            self.probe = None;
            self.probe_not_before = now;
        } else {
            self.link.read_clock(now, clock_ms);
        }
        if let Some(run) = self.runs.get_mut(&id)
            && matches!(run.phase, RunPhase::Ordered | RunPhase::Unconfirmed { .. })
        {
            run.phase = RunPhase::Running;
            run.progressed_at = now;
            self.link.is_confirmed = true;
            self.answer_times.record(now.since(run.since));
        }
    }

    fn order_unanswered(&mut self, now: Moment, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.phase == RunPhase::Ordered {
            run.phase = RunPhase::Unconfirmed { since: now };
            // Only a probe that is sent from now on can show the outcome, and the probe in flight
            // may wait for long.
            self.probe = None;
            self.probe_not_before = now;
            self.record_decision(AgentDecision::OrderUnanswered { run: id });
        }
    }

    fn order_refused(&mut self, now: Moment, id: RunId, refusal: OrderRefusal) {
        match refusal {
            OrderRefusal::OldAttempt => self.end_unstarted(now, id, NotRunCause::OldAttempt),
            OrderRefusal::Late => self.end_unstarted(now, id, NotRunCause::Late),
            OrderRefusal::NoRoom => self.end_unstarted(now, id, NotRunCause::NoRoom),
            OrderRefusal::Rejected => self.end_unstarted(now, id, NotRunCause::Rejected),
            OrderRefusal::Unhealthy => {
                self.health.record_failed(now);
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
            }
            OrderRefusal::Fenced { clock_ms } => {
                self.take_token(now, clock_ms);
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
            }
            OrderRefusal::OtherIncarnation => {
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
                self.other_incarnation_answered(now);
            }
        }
    }

    fn end_unstarted(&mut self, now: Moment, id: RunId, cause: NotRunCause) {
        let phase = self.runs.get(&id).map(|run| run.phase);
        match phase {
            Some(RunPhase::Ordered) => self.end_run(now, id, EndOfRun::NotRun(cause)),
            // The target may have carried out an earlier transmission of the order; only a probe
            // can show that.
            _ => self.probe_not_before = now,
        }
    }

    /// Removes a run that has ended and queues its end for the report to its entry.
    pub(super) fn end_run(&mut self, now: Moment, id: RunId, end: EndOfRun) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let ran = now.since(run.since);
        let ended = EndedRun {
            run: id,
            end: self.assess_end(now, end, &run),
            ran_ms: ran.as_millis() as u32,
        };
        self.settle_charge(&run, ended.end, ended.ran_ms);
        self.record_decision(AgentDecision::RunEnded {
            run: id,
            end: ended.end,
            ran_ms: ended.ran_ms,
        });
        if let Some(owner) = self.owners.get_mut(&run.owner) {
            owner.ended.push(ended);
        }
    }

    /// Updates slowdown and health of the target from the end of a run. Returns the end as it is
    /// reported to the entry.
    fn assess_end(&mut self, now: Moment, end: EndOfRun, run: &Run) -> EndOfRun {
        match end {
            EndOfRun::Done => {
                let left = 100 - run.sampled_percent.min(100);
                self.slowdown
                    .record(now.since(run.sampled_at), left, run.estimate());
                self.health.record_done();
                end
            }
            EndOfRun::Failed { .. } => EndOfRun::Failed {
                is_target_suspect: self.health.record_failed(now),
            },
            EndOfRun::Stalled => {
                self.health.record_stalled(now);
                end
            }
            _ => end,
        }
    }
}
