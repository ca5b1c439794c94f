//! Delays of what callers send to entries, and connections that break at the caller's end alone.

use std::time::Duration;

use mastknot_core::scheduler::{CallerId, SchedulerEvent};
use rand::RngExt;

use super::action::Action;
use super::job_system::{Caller, JobSystem, MILLI};

/// Maximum time by which a caller's departure follows its request, in microseconds.
const DEPARTURE_WITHIN: u64 = 40 * MILLI;

impl JobSystem {
    /// Delays everything that callers send to an entry until the given time has passed.
    pub(super) fn delay_requests(&mut self, entry: usize, time: Duration) {
        let until = self.now + time.as_micros() as u64;
        let held = &mut self.requests_delayed_until[entry];
        *held = until.max(*held);
        self.record_pause_for_callers(entry);
    }

    /// Pauses an entry, which reads the requests that arrived meanwhile when it resumes.
    pub(super) fn stall_entry(&mut self, entry: usize, time: Duration) {
        let until = self.now + time.as_micros() as u64;
        let node = &mut self.entries[entry];
        node.paused_until = until.max(node.paused_until);
        self.delay_requests(entry, time);
    }

    /// Breaks the connections of an entry's callers without a notice to the entry.
    pub(super) fn break_callers(&mut self, entry: usize) {
        let broken = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.entry == entry);
        let broken: Vec<CallerId> = broken.map(|(caller, _)| *caller).collect();
        for caller in broken {
            self.caller_lost(caller);
        }
    }

    /// Returns the arrival time of a request that is sent to the entry now, if it is delayed.
    pub(super) fn delayed_until(&self, entry: usize) -> Option<u64> {
        let until = self.requests_delayed_until[entry];
        (until > self.now).then_some(until)
    }

    /// Schedules the delivery of a caller's event to an entry at `at`, in microseconds.
    pub(super) fn deliver_later(&mut self, at: u64, entry: usize, event: SchedulerEvent) {
        let incarnation = self.entries[entry].incarnation;
        let event = Box::new(event);
        self.schedule.add(
            at,
            Action::FromCaller {
                entry,
                incarnation,
                event,
            },
        );
    }

    /// Returns whether the departure of the caller reaches the entry behind delayed requests.
    pub(super) fn is_departure_delayed(&self, record: &Caller) -> bool {
        record.is_delayed || self.delayed_until(record.entry).is_some()
    }

    /// Schedules the delayed departure of a caller and returns the time at which the entry receives it.
    pub(super) fn schedule_departure(&mut self, caller: CallerId, entry: usize) -> u64 {
        let resumes_at = self.entries[entry].paused_until.max(self.now);
        let opens = self.requests_delayed_until[entry].max(resumes_at);
        let at = opens + self.rng.random_range(0..=DEPARTURE_WITHIN);
        self.deliver_later(at, entry, SchedulerEvent::Abandon { caller });
        at
    }

    /// Delivers a delayed event of a caller to its entry, unless the entry has been killed since.
    pub(super) fn deliver_delayed(
        &mut self,
        entry: usize,
        incarnation: u64,
        event: SchedulerEvent,
    ) {
        if self.entries[entry].incarnation == incarnation {
            self.step_entry(entry, event);
        }
    }
}
