//! Callers that cancel jobs.

use std::time::Duration;

use mastknot_core::agent::SessionId;
use mastknot_core::job::{CancelAnswer, CancelOutcome, JobId, SideReport};
use mastknot_core::scheduler::{CallerId, CancelRequest, SchedulerEvent};

use super::action::Action;
use super::job_system::{CALLER_TIME, JobSystem, LINK_DELAY};

/// Time that a caller waits for the outcome of a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

impl JobSystem {
    /// Schedules a request to cancel a job, at an entry that may not have the job.
    pub fn cancel_job(&mut self, at: Duration, entry: usize, job: JobId) {
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::Cancel { job, entry });
    }

    pub(super) fn cancel_now(&mut self, job: JobId, entry: usize) {
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        self.cancels.insert(caller, job);
        if let Some(job) = self.jobs.get_mut(&job) {
            job.is_cancelled = true;
        }
        let cancel = CancelRequest {
            job,
            request_id: format!("c{}", caller.0).into(),
            job_timeout: Duration::from_micros(CALLER_TIME),
            time_left: CANCEL_TIMEOUT,
        };
        let event = SchedulerEvent::Cancel { caller, cancel };
        let node = &self.entries[entry];
        let readable_at = node.paused_until.max(self.requests_delayed_until[entry]);
        match readable_at > self.now {
            true => self.deliver_later(readable_at, entry, event),
            false => self.step_entry(entry, event),
        }
    }

    /// Makes sides ignore cancels and answer that no entry has the job, so that a cancel only ends what its own entry has.
    pub fn ignore_cancels(&mut self) {
        self.ignores_cancels = true;
    }

    pub(super) fn answer_ignored_cancel(&mut self, entry: usize, session: SessionId, job: JobId) {
        let answer = CancelAnswer::NotFound;
        let report = Box::new(SideReport::Cancel { job, answer });
        let incarnation = self.entries[entry].incarnation;
        let at = self.arrival(session, false) + LINK_DELAY;
        let answered = Action::ToEntry {
            entry,
            incarnation,
            session,
            report,
        };
        self.schedule.add(at, answered);
    }

    /// Returns the number of messages about cancelled jobs that entries and sides have sent to each other.
    pub fn cancel_messages(&self) -> u64 {
        self.cancel_messages
    }

    pub(super) fn cancel_answered(&mut self, caller: CallerId, outcome: CancelOutcome) {
        if let Some(job) = self.cancels.remove(&caller) {
            self.audit.cancel_answered(self.now, job, outcome);
        }
    }
}
