//! Delivers events to sides, carries out the effects that their cores return, and runs the targets.

use std::time::Duration;

use mastknot_core::message::{NotRunReason, TaskOrder, TaskOutcome, TaskResult};
use mastknot_core::side::{SideEffect, SideEvent};
use mastknot_core::types::{Incarnation, Moment, TaskId};

use super::SideIndex;
use super::virtual_system::*;
use crate::{MessageKind, Violation};

/// Time during which a target that has begun to leave may still receive messages that were under way.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

impl VirtualSystem {
    pub(super) fn at_side(&mut self, at: u64, side: SideIndex, event: SideEvent) {
        let incarnation = self.sides[side].settings.incarnation;
        let event = Box::new(event);
        let action = Action::ToSide {
            side,
            incarnation,
            event,
        };
        self.schedule.add(at, action);
    }

    pub(super) fn deliver_to_side(
        &mut self,
        index: SideIndex,
        incarnation: Incarnation,
        event: Box<SideEvent>,
    ) {
        let side = &self.sides[index];
        if side.core.is_none() || side.settings.incarnation != incarnation {
            return;
        }
        if side.paused_until > self.now {
            let at = side.paused_until;
            let action = Action::ToSide {
                side: index,
                incarnation,
                event,
            };
            return self.schedule.add(at, action);
        }
        let now = self.moment();
        let Some(core) = self.sides[index].core.as_mut() else {
            return;
        };
        let effects = core.step(now, *event);
        let is_draining = core.is_draining();
        let tick = core.next_tick();
        let version = core.config().version();
        let name = self.sides[index].settings.side.clone();
        self.audit.record_config(&name, version);
        // A paused process cannot begin to leave, and it starts nothing while it is paused.
        if is_draining {
            let since = self.now;
            self.sides[index].leaving_since.get_or_insert(since);
        }
        for effect in effects {
            self.side_effect(index, effect);
        }
        self.plan_side_tick(index, tick);
    }

    pub(super) fn plan_side_tick(&mut self, index: SideIndex, at: Option<Moment>) {
        let Some(at) = at else {
            return;
        };
        let at = at.as_micros().max(self.now + 1);
        let side = &mut self.sides[index];
        if side.tick_at.is_some_and(|planned| planned <= at) {
            return;
        }
        side.tick_at = Some(at);
        let incarnation = side.settings.incarnation;
        self.schedule.add(at, Action::TickSide(index, incarnation));
    }

    pub(super) fn side_effect(&mut self, index: SideIndex, effect: SideEffect) {
        match effect {
            SideEffect::Send { entry, message } => {
                let to = self.entries.iter().position(|e| *e.name() == entry);
                if let Some(to) = to {
                    self.send_to_entry(index, to, message);
                }
            }
            SideEffect::Run(order) => self.run(index, order),
            SideEffect::Abort(task) => {
                if self.sides[index].runs.remove(&task).is_some() {
                    let outcome = TaskOutcome::Stopped;
                    let event = SideEvent::TaskEnded { task, outcome };
                    self.at_side(self.now, index, event);
                }
            }
        }
    }

    /// Starts a task at the target. The payload states its run time in microseconds and is also its answer.
    pub(super) fn run(&mut self, index: SideIndex, order: TaskOrder) {
        let task = order.task;
        let side = &mut self.sides[index];
        if side.is_refusing {
            let outcome = TaskOutcome::NotRun(NotRunReason::TargetRefused);
            let event = SideEvent::TaskEnded { task, outcome };
            return self.at_side(self.now, index, event);
        }
        let is_late = side
            .leaving_since
            .is_some_and(|since| self.now > since + LEAVING_GRACE.as_micros() as u64);
        let run = side.next_run;
        side.next_run += 1;
        let run_micros_requested = run_micros(&order.payload);
        let limit = u64::from(order.deadline_ms) * 1_000;
        let time = (run_micros_requested * side.slow_percent / 100).min(limit);
        let incarnation = side.settings.incarnation;
        let name = side.settings.side.clone();
        side.runs.insert(task, (run, order.payload));
        self.audit.record_start(task);
        let entry = self.entries.iter().position(|entry| entry.core.is_some());
        self.fire_triggers(MessageKind::Run, entry, Some(index));
        if is_late {
            self.audit.report(Violation::StartedWhileLeaving(name));
        }
        let action = Action::RunEnds {
            side: index,
            incarnation,
            task,
            run,
        };
        self.schedule.add(self.now + time, action);
    }

    pub(super) fn run_ends(
        &mut self,
        index: SideIndex,
        incarnation: Incarnation,
        task: TaskId,
        run: u64,
    ) {
        let side = &mut self.sides[index];
        let running = side.runs.get(&task).map(|(running, _)| *running);
        if side.settings.incarnation != incarnation || running != Some(run) {
            return;
        }
        let Some((_, body)) = side.runs.remove(&task) else {
            return;
        };
        let is_lost = side.lose_answers > 0;
        side.lose_answers = side.lose_answers.saturating_sub(1);
        let outcome = if is_lost {
            TaskOutcome::Lost
        } else {
            TaskOutcome::Done(TaskResult { status: 200, body })
        };
        let event = SideEvent::TaskEnded { task, outcome };
        self.at_side(self.now, index, event);
    }
}
