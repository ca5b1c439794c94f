//! Calls to fake targets and their answers.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{AgentEvent, OrderOutcome, ProbeFailure, TargetReport, TargetView};
use mastknot_core::job::{Capacity, RunId, TargetId, TargetProfile};
use rand::RngExt;

use super::action::Action;
use super::job_system::{CallOutcome, HEARTBEAT_INTERVAL, JobSystem, MILLI, TARGET_DELAY};
use super::target_slot::OpenProbe;
use super::variants::TargetNaming;
use super::virtual_target::{TargetBehaviour, VirtualStart, VirtualTarget};

/// Time after which the side knows a changed capacity, in microseconds: a pause of the side of up to 3.5 s, a
/// heartbeat interval, and a call under way.
const CAPACITY_KNOWN_AFTER: u64 = 3_500 * MILLI + HEARTBEAT_INTERVAL + 100 * MILLI;

/// Range of delays after which a call that gets no answer is applied, in microseconds.
const LATE_CALLS: Range<u64> = 2_000_000..12_000_000;

impl JobSystem {
    pub(super) fn start_target(&mut self, side: usize) {
        let slow = self.rng.random_range(0..=20);
        let slot = &mut self.targets[side];
        slot.target_incarnation += 1;
        let target_incarnation = slot.target_incarnation;
        let id = self.target_id(side);
        let capacity = Capacity {
            cpu_millis: self.settings.cpu_millis,
            memory_mb: 32_768,
            accelerators: 0,
        };
        let mut target = VirtualTarget::new(id, capacity, slow, self.now);
        target.max_hold_ms = self.max_hold.as_millis() as u64;
        self.targets[side].target = Some(target);
        self.schedule_in(
            MILLI,
            Action::Heartbeat {
                side,
                target_incarnation,
            },
        );
    }

    /// Returns the id of the current incarnation of a target.
    pub(super) fn target_id(&self, side: usize) -> TargetId {
        let target_incarnation = self.targets[side].target_incarnation;
        match self.target_naming {
            TargetNaming::PerIncarnation => {
                TargetId::named(format!("target-{side}-{target_incarnation}"))
            }
            // No two incarnations of a target start in the same millisecond.
            TargetNaming::KeptWithStartTime => {
                TargetId::started_at(format!("target-{side}"), self.now / MILLI + 1)
            }
            TargetNaming::KeptWithoutStartTime | TargetNaming::KeptWithReportNumbers => {
                TargetId::named(format!("target-{side}"))
            }
        }
    }

    pub(super) fn send_heartbeat(&mut self, side: usize, target_incarnation: u64) {
        let slot = &self.targets[side];
        let Some(target) = slot
            .target
            .as_ref()
            .filter(|_| slot.target_incarnation == target_incarnation)
        else {
            return;
        };
        let cold_until = match target.hides_cold {
            true => 0,
            false => target.cold_until,
        };
        let mut capacity = target.capacity;
        if self.hides_resizes {
            capacity.cpu_millis = self.settings.cpu_millis;
        }
        let speed = self.speed_of(side);
        let profile = TargetProfile {
            id: target.id.clone(),
            service: Arc::from("service"),
            capacity,
            labels: speed.into_iter().map(|(_, class)| class).collect(),
        };
        let event = AgentEvent::TargetReported(TargetReport {
            profile,
            is_draining: false,
            number: target.report_number(self.now),
            cold_for: Duration::from_micros(cold_until.saturating_sub(self.now)),
        });
        let incarnation = self.sides[side].incarnation;
        let event = Box::new(event);
        let held = self.targets[side]
            .reports_delayed_until
            .saturating_sub(self.now);
        let delay = held.max(TARGET_DELAY);
        self.schedule_in(
            delay,
            Action::SideInput {
                side,
                incarnation,
                event,
            },
        );
        self.schedule_in(
            HEARTBEAT_INTERVAL,
            Action::Heartbeat {
                side,
                target_incarnation,
            },
        );
    }

    /// Changes the capacity of a target, which reports it with its next heartbeat.
    pub(super) fn resize_target(&mut self, side: usize, cpu_millis: u32) {
        let now = self.now;
        if let Some(target) = &mut self.targets[side].target {
            target.capacity.cpu_millis = cpu_millis;
            target.resized = now;
        }
    }

    /// Records a violation if the runs of a target exceed its capacity although the side must know that
    /// capacity.
    fn check_capacity(&mut self, side: usize, run: RunId) {
        let Some(target) = &self.targets[side].target else {
            return;
        };
        let is_known = self.now > target.resized + CAPACITY_KNOWN_AFTER;
        let used = target.used();
        if is_known && !target.capacity.covers(&used) {
            self.audit.started_without_capacity(run, used.cpu_millis);
        }
    }

    /// Returns the outcome of the next call to a target.
    pub(super) fn next_call_outcome(&mut self, side: usize) -> CallOutcome {
        let slot = &mut self.targets[side];
        slot.calls += 1;
        let Some(target) = &slot.target else {
            return match slot.is_silent {
                true => CallOutcome::Lost,
                false => CallOutcome::Refused,
            };
        };
        match target.behaviour {
            TargetBehaviour::AppliesLate(every) if slot.calls.is_multiple_of(every) => {
                CallOutcome::Late(self.rng.random_range(LATE_CALLS))
            }
            TargetBehaviour::LosesAnswers(every) if slot.calls.is_multiple_of(every) => {
                CallOutcome::Unanswered
            }
            _ => CallOutcome::Done,
        }
    }

    /// Returns the outcome of the next stop order.
    fn next_stop_outcome(&mut self, side: usize) -> CallOutcome {
        let slot = &mut self.targets[side];
        let behaviour = slot.target.as_ref().map(|target| target.behaviour);
        let Some(TargetBehaviour::StopsLate(every)) = behaviour else {
            return self.next_call_outcome(side);
        };
        slot.stops += 1;
        match slot.stops.is_multiple_of(every) {
            true => CallOutcome::Late(self.rng.random_range(LATE_CALLS)),
            false => CallOutcome::Done,
        }
    }

    pub(super) fn side_input(
        &mut self,
        delay: u64,
        side: usize,
        incarnation: u64,
        event: AgentEvent,
    ) {
        let event = Box::new(event);
        self.schedule_in(
            delay,
            Action::SideInput {
                side,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn order_start(
        &mut self,
        side: usize,
        incarnation: u64,
        start: VirtualStart,
        timeout: u64,
    ) {
        let run = start.run;
        let start = Box::new(start);
        let target_incarnation = self.targets[side].target_incarnation;
        let outcome = |outcome| AgentEvent::OrderAnswered { run, outcome };
        let arrives = |is_answered| Action::TargetStart {
            side,
            incarnation,
            target_incarnation,
            start: start.clone(),
            is_answered,
        };
        match self.next_call_outcome(side) {
            CallOutcome::Done => self.schedule_in(TARGET_DELAY, arrives(true)),
            CallOutcome::Unanswered => {
                self.schedule_in(TARGET_DELAY, arrives(false));
                self.side_input(timeout, side, incarnation, outcome(OrderOutcome::NoAnswer));
            }
            CallOutcome::Late(delay) => {
                self.schedule_in(delay, arrives(false));
                self.side_input(timeout, side, incarnation, outcome(OrderOutcome::NoAnswer));
            }
            CallOutcome::Lost => {
                self.side_input(timeout, side, incarnation, outcome(OrderOutcome::NoAnswer));
            }
            CallOutcome::Refused => {
                self.side_input(
                    TARGET_DELAY,
                    side,
                    incarnation,
                    outcome(OrderOutcome::Unreachable),
                );
            }
        }
    }

    pub(super) fn order_stop(
        &mut self,
        side: usize,
        incarnation: u64,
        run: RunId,
        token: u64,
        timeout: u64,
    ) {
        let failed = AgentEvent::StopAnswered {
            run,
            is_acknowledged: false,
        };
        let arrives = |is_answered| Action::TargetStop {
            side,
            incarnation,
            run,
            token,
            is_answered,
        };
        match self.next_stop_outcome(side) {
            CallOutcome::Done => self.schedule_in(TARGET_DELAY, arrives(true)),
            CallOutcome::Unanswered => {
                self.schedule_in(TARGET_DELAY, arrives(false));
                self.side_input(timeout, side, incarnation, failed);
            }
            CallOutcome::Late(delay) => {
                self.schedule_in(delay, arrives(false));
                self.side_input(timeout, side, incarnation, failed);
            }
            CallOutcome::Lost => self.side_input(timeout, side, incarnation, failed),
            CallOutcome::Refused => self.side_input(TARGET_DELAY, side, incarnation, failed),
        }
    }

    pub(super) fn order_probe(&mut self, side: usize, open: OpenProbe, wait: u64) {
        let (number, incarnation) = (open.number, open.incarnation);
        let failed_probe = |failure| AgentEvent::Probed {
            number,
            result: Err(failure),
        };
        match self.next_call_outcome(side) {
            CallOutcome::Done => {
                let open = Box::new(open);
                self.schedule_in(TARGET_DELAY, Action::TargetProbe { side, open, wait });
            }
            CallOutcome::Refused => {
                self.side_input(
                    TARGET_DELAY,
                    side,
                    incarnation,
                    failed_probe(ProbeFailure::Refused),
                );
            }
            CallOutcome::Late(_) | CallOutcome::Unanswered | CallOutcome::Lost => {
                let timeout = open.timeout;
                self.side_input(
                    timeout,
                    side,
                    incarnation,
                    failed_probe(ProbeFailure::Silent),
                );
            }
        }
    }

    pub(super) fn target_start(
        &mut self,
        side: usize,
        incarnation: u64,
        target_incarnation: u64,
        start: &VirtualStart,
        is_answered: bool,
    ) {
        self.advance_target(side);
        let now = self.now;
        // A target that crashes loses the calls that it has read and not applied yet.
        let has_died = self.targets[side].target_incarnation != target_incarnation && !is_answered;
        let Some(target) = self.targets[side].target.as_mut().filter(|_| !has_died) else {
            return;
        };
        let (outcome, has_begun) = target.start(now, start, !self.disables_capacity_checks);
        if has_begun {
            self.check_capacity(side, start.run);
            self.check_drained(side, start.run);
            self.audit.run_started(now, side, start.run);
            self.plan_target_crash(side, start.run);
        }
        self.schedule_target_end(side);
        if is_answered {
            let run = start.run;
            let event = AgentEvent::OrderAnswered { run, outcome };
            self.side_input(TARGET_DELAY, side, incarnation, event);
        }
    }

    pub(super) fn target_stop(
        &mut self,
        side: usize,
        incarnation: u64,
        run: RunId,
        token: u64,
        is_answered: bool,
    ) {
        self.advance_target(side);
        let now = self.now;
        let Some(target) = &mut self.targets[side].target else {
            return;
        };
        let is_acknowledged = target.stop(now, run, token);
        self.schedule_target_end(side);
        if is_answered {
            let event = AgentEvent::StopAnswered {
                run,
                is_acknowledged,
            };
            self.side_input(TARGET_DELAY, side, incarnation, event);
        }
    }

    pub(super) fn target_probe(&mut self, side: usize, open: OpenProbe, wait: u64) {
        self.advance_target(side);
        let number = open.number;
        // The hold is renewed when the probe arrives, not when it is answered.
        if let Some(target) = &mut self.targets[side].target {
            let _ = target.probe(self.now, &open.probe);
        }
        self.targets[side].open_probe = Some(open);
        self.schedule_target_end(side);
        if wait == 0 || self.has_update(side) {
            self.answer_probe(side, Some(number));
        } else {
            self.schedule_in(wait, Action::ProbeWaited { side, number });
        }
    }

    pub(super) fn has_update(&mut self, side: usize) -> bool {
        let slot = &mut self.targets[side];
        let (Some(target), Some(open)) = (&mut slot.target, &slot.open_probe) else {
            return false;
        };
        let view = target.probe(self.now, &open.probe);
        view.is_err() || view.is_ok_and(|view| !view.finished.is_empty())
    }

    pub(super) fn answer_probe(&mut self, side: usize, number: Option<u64>) {
        let slot = &mut self.targets[side];
        let is_open = slot
            .open_probe
            .as_ref()
            .is_some_and(|open| number.is_none_or(|number| number == open.number));
        if !is_open {
            return;
        }
        let (Some(open), Some(target)) = (slot.open_probe.take(), &mut slot.target) else {
            return;
        };
        let result: Result<TargetView, ProbeFailure> = target.probe(self.now, &open.probe);
        let answered = Action::ProbeAnswered {
            side,
            target_incarnation: slot.target_incarnation,
            open: Box::new(open),
            result,
        };
        self.schedule_in(TARGET_DELAY, answered);
    }

    /// Delivers the answer to a probe. A target that crashes resets its connections, so an answer that is under
    /// way then is lost.
    pub(super) fn probe_answered(
        &mut self,
        side: usize,
        target_incarnation: u64,
        open: &OpenProbe,
        result: Result<TargetView, ProbeFailure>,
    ) {
        let slot = &self.targets[side];
        let has_died = slot.target.is_none() || slot.target_incarnation != target_incarnation;
        let result = match has_died && !slot.is_silent {
            true => Err(ProbeFailure::Silent),
            false => result,
        };
        let number = open.number;
        let event = AgentEvent::Probed { number, result };
        self.side_input(0, side, open.incarnation, event);
    }

    pub(super) fn advance_target(&mut self, side: usize) {
        let now = self.now;
        let Some(target) = &mut self.targets[side].target else {
            return;
        };
        let ends = target.advance(now);
        let has_ended = !ends.is_empty();
        for end in ends {
            self.audit.run_ended(now, side, end.run, end.is_done);
        }
        if has_ended {
            self.answer_probe(side, None);
        }
        self.schedule_target_end(side);
    }

    pub(super) fn schedule_target_end(&mut self, side: usize) {
        let slot = &mut self.targets[side];
        let Some(next) = slot.target.as_ref().and_then(VirtualTarget::next_end) else {
            return;
        };
        let at = next.max(self.now + 1);
        if slot.due_at.is_none_or(|due| at < due || due <= self.now) {
            slot.due_at = Some(at);
            self.schedule.add(at, Action::TargetDue { side });
        }
    }

    pub(super) fn crash_target(&mut self, side: usize, is_silent: bool) {
        self.advance_target(side);
        let slot = &mut self.targets[side];
        slot.is_silent = is_silent;
        let Some(target) = slot.target.take() else {
            return;
        };
        let open = slot.open_probe.take();
        for run in target.running() {
            self.audit.run_ended(self.now, side, run, false);
        }
        if let Some(open) = open {
            let failure = match is_silent {
                true => ProbeFailure::Silent,
                false => ProbeFailure::Refused,
            };
            let event = AgentEvent::Probed {
                number: open.number,
                result: Err(failure),
            };
            self.side_input(open.timeout, side, open.incarnation, event);
        }
    }
}
