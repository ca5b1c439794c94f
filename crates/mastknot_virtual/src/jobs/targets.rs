//! Calls to fake targets, and what they answer.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{AgentEvent, OrderOutcome, ProbeFailure, TargetReport, TargetView};
use mastknot_core::job::{Capacity, RunId, TargetId, TargetProfile};
use rand::RngExt;

use super::act::Act;
use super::job_system::{BEAT, CallFate, JobSystem, MILLI, TARGET_DELAY};
use super::target_slot::OpenLook;
use super::variants::NamesKept;
use super::virtual_target::{TargetBehaviour, VirtualStart, VirtualTarget};

/// A room that has changed is known to the side by then, which may stand still for 3.5 s: a beat, and a call on its way.
const ROOM_KNOWN_AFTER: u64 = 3_500 * MILLI + BEAT + 100 * MILLI;

/// How late a call is done that gets no answer, in microseconds.
const LATE_CALLS: Range<u64> = 2_000_000..12_000_000;

impl JobSystem {
    pub(super) fn start_target(&mut self, side: usize) {
        let slow = self.rng.random_range(0..=20);
        let slot = &mut self.targets[side];
        slot.lives += 1;
        let lives = slot.lives;
        let id = self.target_id(side);
        let capacity = Capacity {
            cpu_millis: self.settings.cpu_millis,
            memory_mb: 32_768,
            accelerators: 0,
        };
        let mut target = VirtualTarget::new(id, capacity, slow, self.now);
        target.longest_hold_ms = self.longest_hold.as_millis() as u64;
        self.targets[side].target = Some(target);
        self.later(MILLI, Act::Beat { side, lives });
    }

    /// What the life is called that starts now.
    pub(super) fn target_id(&self, side: usize) -> TargetId {
        let lives = self.targets[side].lives;
        match self.names_kept {
            NamesKept::None => TargetId::named(format!("target-{side}-{lives}")),
            // No two lives of a target start in one millisecond.
            NamesKept::WithBirths => {
                TargetId::started_at(format!("target-{side}"), self.now / MILLI + 1)
            }
            NamesKept::WithoutBirths | NamesKept::ByNumbers => {
                TargetId::named(format!("target-{side}"))
            }
        }
    }

    pub(super) fn beat(&mut self, side: usize, lives: u64) {
        let slot = &self.targets[side];
        let Some(target) = slot.target.as_ref().filter(|_| slot.lives == lives) else {
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
        let life = self.sides[side].life;
        let event = Box::new(event);
        let held = self.targets[side]
            .reports_held_until
            .saturating_sub(self.now);
        let delay = held.max(TARGET_DELAY);
        self.later(delay, Act::SideInput { side, life, event });
        self.later(BEAT, Act::Beat { side, lives });
    }

    /// A target's room changes; it says so with its next beat.
    pub(super) fn resize_target(&mut self, side: usize, cpu_millis: u32) {
        let now = self.now;
        if let Some(target) = &mut self.targets[side].target {
            target.capacity.cpu_millis = cpu_millis;
            target.resized = now;
        }
    }

    /// Whether a target holds more than its room although that has been known for long.
    fn check_room(&mut self, side: usize, run: RunId) {
        let Some(target) = &self.targets[side].target else {
            return;
        };
        let is_known = self.now > target.resized + ROOM_KNOWN_AFTER;
        let used = target.used();
        if is_known && !target.capacity.covers(&used) {
            self.audit.started_without_room(run, used.cpu_millis);
        }
    }

    /// What becomes of the next call to a target.
    pub(super) fn call_fate(&mut self, side: usize) -> CallFate {
        let slot = &mut self.targets[side];
        slot.calls += 1;
        let Some(target) = &slot.target else {
            return match slot.is_dark {
                true => CallFate::Lost,
                false => CallFate::Refused,
            };
        };
        match target.mood {
            TargetBehaviour::AppliesLate(every) if slot.calls.is_multiple_of(every) => {
                CallFate::Late(self.rng.random_range(LATE_CALLS))
            }
            TargetBehaviour::LosesAnswers(every) if slot.calls.is_multiple_of(every) => {
                CallFate::Unanswered
            }
            _ => CallFate::Done,
        }
    }

    /// What becomes of the next order to stop.
    fn stop_fate(&mut self, side: usize) -> CallFate {
        let slot = &mut self.targets[side];
        let mood = slot.target.as_ref().map(|target| target.mood);
        let Some(TargetBehaviour::StopsLate(every)) = mood else {
            return self.call_fate(side);
        };
        slot.stops += 1;
        match slot.stops.is_multiple_of(every) {
            true => CallFate::Late(self.rng.random_range(LATE_CALLS)),
            false => CallFate::Done,
        }
    }

    pub(super) fn side_input(&mut self, delay: u64, side: usize, life: u64, event: AgentEvent) {
        let event = Box::new(event);
        self.later(delay, Act::SideInput { side, life, event });
    }

    pub(super) fn order_start(&mut self, side: usize, life: u64, start: VirtualStart, limit: u64) {
        let run = start.run;
        let start = Box::new(start);
        let lives = self.targets[side].lives;
        let outcome = |outcome| AgentEvent::OrderAnswered { run, outcome };
        let arrives = |is_answered| Act::TargetStart {
            side,
            life,
            lives,
            start: start.clone(),
            is_answered,
        };
        match self.call_fate(side) {
            CallFate::Done => self.later(TARGET_DELAY, arrives(true)),
            CallFate::Unanswered => {
                self.later(TARGET_DELAY, arrives(false));
                self.side_input(limit, side, life, outcome(OrderOutcome::NoAnswer));
            }
            CallFate::Late(delay) => {
                self.later(delay, arrives(false));
                self.side_input(limit, side, life, outcome(OrderOutcome::NoAnswer));
            }
            CallFate::Lost => {
                self.side_input(limit, side, life, outcome(OrderOutcome::NoAnswer));
            }
            CallFate::Refused => {
                self.side_input(TARGET_DELAY, side, life, outcome(OrderOutcome::Unreachable));
            }
        }
    }

    pub(super) fn order_stop(
        &mut self,
        side: usize,
        life: u64,
        run: RunId,
        token: u64,
        limit: u64,
    ) {
        let failed = AgentEvent::StopAnswered {
            run,
            is_acknowledged: false,
        };
        let arrives = |is_answered| Act::TargetStop {
            side,
            life,
            run,
            token,
            is_answered,
        };
        match self.stop_fate(side) {
            CallFate::Done => self.later(TARGET_DELAY, arrives(true)),
            CallFate::Unanswered => {
                self.later(TARGET_DELAY, arrives(false));
                self.side_input(limit, side, life, failed);
            }
            CallFate::Late(delay) => {
                self.later(delay, arrives(false));
                self.side_input(limit, side, life, failed);
            }
            CallFate::Lost => self.side_input(limit, side, life, failed),
            CallFate::Refused => self.side_input(TARGET_DELAY, side, life, failed),
        }
    }

    pub(super) fn order_look(&mut self, side: usize, open: OpenLook, wait: u64) {
        let (number, life) = (open.number, open.life);
        let looked = |failure| AgentEvent::Probed {
            number,
            result: Err(failure),
        };
        match self.call_fate(side) {
            CallFate::Done => {
                let open = Box::new(open);
                self.later(TARGET_DELAY, Act::TargetLook { side, open, wait });
            }
            CallFate::Refused => {
                self.side_input(TARGET_DELAY, side, life, looked(ProbeFailure::Refused));
            }
            CallFate::Late(_) | CallFate::Unanswered | CallFate::Lost => {
                let limit = open.limit;
                self.side_input(limit, side, life, looked(ProbeFailure::Silent));
            }
        }
    }

    pub(super) fn target_start(
        &mut self,
        side: usize,
        life: u64,
        lives: u64,
        start: &VirtualStart,
        is_answered: bool,
    ) {
        self.advance_target(side);
        let now = self.now;
        // What a target has read and not done yet is gone with it.
        let has_died = self.targets[side].lives != lives && !is_answered;
        let Some(target) = self.targets[side].target.as_mut().filter(|_| !has_died) else {
            return;
        };
        let (outcome, has_begun) = target.start(now, start, !self.has_unguarded_targets);
        if has_begun {
            self.check_room(side, start.run);
            self.check_drained(side, start.run);
            self.audit.run_started(now, side, start.run);
            self.plan_crash_under(side, start.run);
        }
        self.wake_target(side);
        if is_answered {
            let run = start.run;
            let event = AgentEvent::OrderAnswered { run, outcome };
            self.side_input(TARGET_DELAY, side, life, event);
        }
    }

    pub(super) fn target_stop(
        &mut self,
        side: usize,
        life: u64,
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
        self.wake_target(side);
        if is_answered {
            let event = AgentEvent::StopAnswered {
                run,
                is_acknowledged,
            };
            self.side_input(TARGET_DELAY, side, life, event);
        }
    }

    pub(super) fn target_look(&mut self, side: usize, open: OpenLook, wait: u64) {
        self.advance_target(side);
        let number = open.number;
        // The hold is renewed when the look arrives, not when it is answered.
        if let Some(target) = &mut self.targets[side].target {
            let _ = target.look(self.now, &open.look);
        }
        self.targets[side].open_look = Some(open);
        self.wake_target(side);
        if wait == 0 || self.has_news(side) {
            self.answer_look(side, Some(number));
        } else {
            self.later(wait, Act::LookWaited { side, number });
        }
    }

    pub(super) fn has_news(&mut self, side: usize) -> bool {
        let slot = &mut self.targets[side];
        let (Some(target), Some(open)) = (&mut slot.target, &slot.open_look) else {
            return false;
        };
        let view = target.look(self.now, &open.look);
        view.is_err() || view.is_ok_and(|view| !view.finished.is_empty())
    }

    pub(super) fn answer_look(&mut self, side: usize, number: Option<u64>) {
        let slot = &mut self.targets[side];
        let is_open = slot
            .open_look
            .as_ref()
            .is_some_and(|open| number.is_none_or(|number| number == open.number));
        if !is_open {
            return;
        }
        let (Some(open), Some(target)) = (slot.open_look.take(), &mut slot.target) else {
            return;
        };
        let result: Result<TargetView, ProbeFailure> = target.look(self.now, &open.look);
        let answered = Act::LookAnswered {
            side,
            lives: slot.lives,
            open: Box::new(open),
            result,
        };
        self.later(TARGET_DELAY, answered);
    }

    /// A target that dies resets its connections: what is on its way then is lost.
    pub(super) fn look_answered(
        &mut self,
        side: usize,
        lives: u64,
        open: &OpenLook,
        result: Result<TargetView, ProbeFailure>,
    ) {
        let slot = &self.targets[side];
        let has_died = slot.target.is_none() || slot.lives != lives;
        let result = match has_died && !slot.is_dark {
            true => Err(ProbeFailure::Silent),
            false => result,
        };
        let number = open.number;
        let event = AgentEvent::Probed { number, result };
        self.side_input(0, side, open.life, event);
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
            self.answer_look(side, None);
        }
        self.wake_target(side);
    }

    pub(super) fn wake_target(&mut self, side: usize) {
        let slot = &mut self.targets[side];
        let Some(next) = slot.target.as_ref().and_then(VirtualTarget::next_end) else {
            return;
        };
        let at = next.max(self.now + 1);
        if slot.due_at.is_none_or(|due| at < due || due <= self.now) {
            slot.due_at = Some(at);
            self.schedule.add(at, Act::TargetDue { side });
        }
    }

    pub(super) fn crash_target(&mut self, side: usize, is_dark: bool) {
        self.advance_target(side);
        let slot = &mut self.targets[side];
        slot.is_dark = is_dark;
        let Some(target) = slot.target.take() else {
            return;
        };
        let open = slot.open_look.take();
        for run in target.running() {
            self.audit.run_ended(self.now, side, run, false);
        }
        if let Some(open) = open {
            let failure = match is_dark {
                true => ProbeFailure::Silent,
                false => ProbeFailure::Refused,
            };
            let event = AgentEvent::Probed {
                number: open.number,
                result: Err(failure),
            };
            self.side_input(open.limit, side, open.life, event);
        }
    }
}
