//! Links between entries and sides: dialing, order of arrival, disconnections and resets.

use std::time::Duration;

use mastknot_core::agent::{AgentEvent, DialBackoff, SessionId};
use mastknot_core::scheduler::SchedulerEvent;
use rand::RngExt;

use super::action::Action;
use super::job_system::{JobSystem, LINK_DELAY};

impl JobSystem {
    pub(super) fn dial(&mut self, entry: usize, side: usize) {
        let is_linked = self.sides[side]
            .open
            .iter()
            .any(|session| self.sessions.get(session) == Some(&(entry, side)));
        if self.sides[side].core.is_none() || is_linked {
            return;
        }
        let disconnection = self
            .disconnections
            .get(&(entry, side))
            .copied()
            .unwrap_or_default();
        let is_disconnected = disconnection
            .to_side_until
            .max(disconnection.to_entry_until)
            > self.now;
        if is_disconnected || self.entries[entry].core.is_none() {
            let jitter = self.jitter();
            let pause = self.backoff(entry, side).after_failure(jitter);
            self.schedule_in(pause.as_micros() as u64, Action::Dial { entry, side });
            return;
        }
        let session = SessionId(self.next_session);
        self.next_session += 1;
        self.sessions.insert(session, (entry, side));
        self.entries[entry].open.insert(session);
        self.sides[side].open.insert(session);
        self.link_record.record_opened(self.now);
        self.opened.insert(session, self.now);
        let incarnation = self.sides[side].incarnation;
        let event = Box::new(AgentEvent::LinkUp { session });
        self.schedule_in(
            0,
            Action::SideInput {
                side,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn redial(&mut self, session: SessionId) {
        if let Some((entry, side)) = self.sessions.get(&session).copied() {
            let opened_at = self.opened.remove(&session).unwrap_or(self.now);
            let uptime = Duration::from_micros(self.now - opened_at);
            let jitter = self.jitter();
            let pause = self.backoff(entry, side).after_link(uptime, jitter);
            self.schedule_in(pause.as_micros() as u64, Action::Dial { entry, side });
        }
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    fn backoff(&mut self, entry: usize, side: usize) -> &mut DialBackoff {
        self.backoffs.entry((entry, side)).or_default()
    }

    /// Returns the arrival time of a message that is sent now: in order, and not before a disconnection is
    /// over.
    pub(super) fn arrival(&mut self, session: SessionId, is_to_side: bool) -> u64 {
        let ends = self.sessions.get(&session).copied().unwrap_or_default();
        let disconnection = self.disconnections.get(&ends).copied().unwrap_or_default();
        let open_at = match is_to_side {
            true => disconnection.to_side_until,
            false => disconnection.to_entry_until,
        };
        let last = self.last_arrival.entry((session, is_to_side)).or_default();
        let at = (self.now.max(open_at) + LINK_DELAY).max(*last);
        *last = at;
        at
    }

    pub(super) fn close_at_entry(&mut self, entry: usize, session: SessionId) {
        if !self.entries[entry].open.remove(&session) {
            return;
        }
        self.link_record.record_closed(self.now);
        self.drop_queue(session, true);
        if self.silenced.contains(&session) {
            return;
        }
        let Some((_, side)) = self.sessions.get(&session).copied() else {
            return;
        };
        let incarnation = self.sides[side].incarnation;
        let at = self.arrival(session, true);
        self.schedule.add(
            at,
            Action::LinkDownAtSide {
                side,
                incarnation,
                session,
            },
        );
    }

    pub(super) fn close_at_side(&mut self, side: usize, session: SessionId) {
        if !self.sides[side].open.remove(&session) {
            return;
        }
        self.link_record.record_closed(self.now);
        self.drop_queue(session, false);
        if self.silenced.contains(&session) {
            self.redial(session);
            return;
        }
        let Some((entry, _)) = self.sessions.get(&session).copied() else {
            return;
        };
        let incarnation = self.entries[entry].incarnation;
        let at = self.arrival(session, false);
        self.schedule.add(
            at,
            Action::LinkDownAtEntry {
                entry,
                incarnation,
                session,
            },
        );
        self.redial(session);
    }

    fn open_session(&self, entry: usize, side: usize) -> Option<SessionId> {
        let mut open = self.sides[side].open.iter().copied();
        open.find(|session| self.sessions.get(session) == Some(&(entry, side)))
    }

    /// Silences a link: neither end receives anything more on it, not even that the other end has closed it.
    pub(super) fn silence_link(&mut self, entry: usize, side: usize) {
        self.silenced.extend(self.open_session(entry, side));
    }

    pub(super) fn reset_link(&mut self, entry: usize, side: usize) {
        let Some(session) = self.open_session(entry, side) else {
            return;
        };
        self.entries[entry].open.remove(&session);
        self.sides[side].open.remove(&session);
        self.step_entry(entry, SchedulerEvent::LinkDown { session });
        self.step_side(side, AgentEvent::LinkDown { session });
        self.redial(session);
    }
}
