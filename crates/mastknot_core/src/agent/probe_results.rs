//! Evaluation of probes: runs that continue, runs that have ended, and runs that are missing.

use std::collections::HashMap;
use std::time::Duration;

use super::target_agent::{ProbeInFlight, TargetAgent};
use super::target_slowdown::MIN_SAMPLE_TIME;
use super::{AgentDecision, FinishReason, RunPhase, TargetFinished, TargetRunning, TargetView};
use crate::job::{EndOfRun, EndedRun, NotRunCause, RunId};
use crate::types::Moment;

/// Number of probes in a row that must miss a run before it counts as lost.
const LOST_AFTER: u32 = 2;
/// Time since the last answer of the target within which progress may be judged.
const FRESH_ANSWER: Duration = Duration::from_millis(250);
/// Maximum number of ends that are kept for entries that have not identified themselves yet.
const MAX_ORPHANED_ENDS: usize = 2_000;

impl TargetAgent {
    pub(super) fn probe_answered(&mut self, now: Moment, probe: ProbeInFlight, view: TargetView) {
        if self.is_other_start_time(view.started_at_ms) && self.is_incarnation_known() {
            self.target_restarted(now, probe, &view);
            return;
        }
        if self.is_other_start_time(view.started_at_ms) {
            self.forget_profile(now);
        }
        let sent = probe.sent;
        self.link.read_clock(now, view.clock_ms);
        self.link.answered_probe_sent = sent;
        self.record_start_time(view.started_at_ms);
        self.link.is_confirmed |= probe.is_named || view.started_at_ms != 0;
        if let Some(target) = self.incarnations.known_answered(sent) {
            self.record_decision(AgentDecision::LateReport { target });
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
            self.record_decision(AgentDecision::TokenTaken { token, survivors });
        }
    }

    /// Takes the target's clock as the fencing token, which therefore rises over restarts of this
    /// process.
    pub(super) fn take_token(&mut self, now: Moment, clock_ms: u64) {
        self.link.read_clock(now, clock_ms);
        self.link.raise_token(clock_ms);
        self.probe_not_before = now;
    }

    /// Takes a token that is high enough for the fence that refused `refused`.
    pub(super) fn pass_fence(&mut self, now: Moment, refused: u64, clock_ms: u64) {
        self.link.read_clock(now, clock_ms);
        self.link.pass_fence(refused, clock_ms);
        self.probe_not_before = now;
    }

    fn take_ends(&mut self, now: Moment, finished: Vec<TargetFinished>) {
        for ended in finished {
            if ended.number <= self.link.last_seen {
                continue;
            }
            self.link.last_seen = ended.number;
            let end = match ended.reason {
                FinishReason::Done => EndOfRun::Done,
                FinishReason::Failed => EndOfRun::Failed {
                    is_target_suspect: false,
                },
                FinishReason::Stopped => self.intended_end(&ended.run),
                FinishReason::HoldExpired => EndOfRun::Lost,
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

    fn take_running(&mut self, now: Moment, sent: Moment, running: &[TargetRunning]) {
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
        self.unclaimed.retain(|run| listed.contains_key(run));
        for TargetRunning { run, percent } in running.iter().copied() {
            if self.runs.get(&run).is_some() {
                continue;
            }
            if !self.link.is_settled {
                self.survivors.insert(run, percent);
            } else if !self.survivors.contains_key(&run) {
                self.stop_unclaimed(run, percent);
            }
        }
    }

    /// Stops a run that no entry owns here. The order is repeated with each probe that lists the
    /// run.
    fn stop_unclaimed(&mut self, run: RunId, percent: u8) {
        if self.unclaimed.insert(run) {
            self.record_decision(AgentDecision::Unclaimed { run, percent });
        }
        self.send_stop(run);
    }

    fn run_listed(&mut self, now: Moment, id: RunId, percent: u8) {
        let limit = self.settings.stall_limit;
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.missed_probes = 0;
        if matches!(run.phase, RunPhase::Ordered | RunPhase::Unconfirmed { .. }) {
            run.phase = RunPhase::Running;
        }
        let stretch = now.since(run.sampled_at);
        if run.phase == RunPhase::Running && stretch >= MIN_SAMPLE_TIME {
            let done = percent.saturating_sub(run.sampled_percent);
            self.slowdown.record(stretch, done, run.estimate());
            run.sampled_percent = percent;
            run.sampled_at = now;
        }
        if percent != run.percent {
            run.percent = percent;
            run.progressed_at = now;
            return;
        }
        let is_stalled = run.phase == RunPhase::Running && now.since(run.progressed_at) > limit;
        if is_stalled && now.since(self.link.last_answer) < FRESH_ANSWER {
            self.stop_run(now, id, EndOfRun::Stalled);
        }
    }

    /// Handles a run that a probe did not list.
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
            RunPhase::Running if sent > run.progressed_at => {
                run.missed_probes += 1;
                if run.missed_probes >= LOST_AFTER {
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
}
