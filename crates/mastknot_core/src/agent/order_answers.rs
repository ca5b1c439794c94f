//! What the target's answers to orders and stops change, and the end of a run.

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
            self.look_not_before = now;
        } else if acknowledged.is_none() {
            let unanswered = AgentDecision::StopUnanswered {
                run: id,
                times: *times,
                since_ms: now.since(*first).as_millis() as u64,
            };
            self.decided(unanswered);
        }
    }

    pub(super) fn order_answered(&mut self, now: Moment, id: RunId, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Started { clock_ms } => self.order_started(now, id, clock_ms),
            OrderOutcome::Refused(refusal) => self.order_refused(now, id, refusal),
            OrderOutcome::Unreachable => {
                if !self.link.is_doubtful() {
                    // The look that is under way may wait for long.
                    self.look = None;
                }
                self.link.contact_loss.note_refused(now);
                self.look_not_before = now;
                self.end_unstarted(now, id, NotRunCause::TargetUnavailable);
            }
            OrderOutcome::NoAnswer => self.order_unanswered(now, id),
        }
    }

    fn order_started(&mut self, now: Moment, id: RunId, clock_ms: u64) {
        let ordered = self.runs.get(&id).map(|run| run.since);
        if ordered.is_some_and(|ordered| self.link.is_clock_anew(ordered, clock_ms)) {
            // An answer does not say which life gives it; only a look can tell.
            self.look = None;
            self.look_not_before = now;
        } else {
            self.link.read_clock(now, clock_ms);
        }
        if let Some(run) = self.runs.get_mut(&id)
            && matches!(run.phase, RunPhase::Ordered | RunPhase::Unconfirmed { .. })
        {
            run.phase = RunPhase::Running;
            run.progressed = now;
            self.link.is_confirmed = true;
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
            self.decided(AgentDecision::OrderUnanswered { run: id });
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
                self.other_life_answered(now);
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
        self.settle_charge(&run, ended.end, ended.ran_ms);
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
