//! Callers: they submit jobs, receive answers and retry.

use std::sync::Arc;
use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId, QueuePolicy, TaskRef};
use mastknot_core::scheduler::{CallerId, SchedulerEvent};
use mastknot_core::types::WallTime;
use rand::RngExt;

use super::GivenAnswer;
use super::action::Action;
use super::job_system::{
    ANSWER_SLACK, CALLER_TIME, Caller, JobSystem, MAX_TRIES, MILLI, RESEND_AFTER,
};

impl JobSystem {
    pub(super) fn submit_now(&mut self, id: JobId, entry: usize) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.has_left) else {
            return;
        };
        job.tries += 1;
        let request = job.request.clone();
        let queue = Arc::clone(&job.queue);
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        let delayed_until = self.delayed_until(entry);
        let node = &self.entries[entry];
        // An entry accepts no job before it has read the drained halls from the store.
        let is_down = node.core.is_none() || self.lacks_drained_halls(entry);
        let record = Caller {
            job: id,
            entry,
            entry_incarnation: node.incarnation,
            submitted_at: self.now,
            may_miss_answer: is_down || node.paused_until > self.now || delayed_until.is_some(),
            is_delayed: delayed_until.is_some(),
        };
        self.callers.insert(caller, record);
        if is_down {
            self.caller_lost(caller);
            return;
        }
        let priority = self.priorities.get(&queue).copied().unwrap_or_default();
        let policy = QueuePolicy {
            name: queue,
            service: Arc::from("service"),
            priority,
            max_attempts: 4,
            stretch: 1.6,
            allowance: Duration::from_millis(60),
            is_ranked: !self.priorities.is_empty(),
            version: 1,
        };
        let event = SchedulerEvent::Submit {
            caller,
            job: request,
            policy: Arc::new(policy),
            time_left: Duration::from_micros(CALLER_TIME),
            wall: WallTime::from_millis(1_700_000_000_000 + self.now / MILLI),
        };
        let slack = CALLER_TIME + ANSWER_SLACK;
        self.schedule_in(slack, Action::CallerTimeout { caller });
        if let Some(at) = delayed_until {
            self.deliver_later(at, entry, event);
            return;
        }
        if self.entries[entry].paused_until > self.now {
            // The request waits in the socket, and the caller leaves before the entry reads it.
            return;
        }
        self.step_entry(entry, event);
    }

    pub(super) fn caller_answered(&mut self, caller: CallerId, answer: JobAnswer) {
        let Some(record) = self.callers.remove(&caller) else {
            return;
        };
        let Some(job) = self.jobs.get(&record.job) else {
            return;
        };
        let steps = &job.request.steps;
        let tasks = (0..steps[0].count).map(|index| TaskRef {
            job: record.job,
            step: 0,
            index,
        });
        let tasks: Vec<TaskRef> = tasks.collect();
        let after = Duration::from_micros(self.now - record.submitted_at);
        let given = GivenAnswer { answer, after };
        self.audit.answered(record.job, given, &tasks);
        match answer {
            JobAnswer::TimedOut => self.resend(record.job),
            JobAnswer::Refused { retry_after } => self.retry_later(&record, retry_after),
            JobAnswer::Completed | JobAnswer::Failed { .. } => {}
        }
    }

    /// Schedules the retry of a refused caller at its entry, after the time that the refusal named.
    fn retry_later(&mut self, record: &Caller, after: Duration) {
        let max_returns = self.max_returns;
        let Some(job) = self.jobs.get_mut(&record.job) else {
            return;
        };
        if job.returns >= max_returns {
            return;
        }
        job.returns += 1;
        let action = Action::Submit {
            job: record.job,
            entry: record.entry,
        };
        self.schedule_in(after.as_micros() as u64, action);
    }

    pub(super) fn caller_timeout(&mut self, caller: CallerId) {
        let Some(record) = self.callers.get(&caller).cloned() else {
            return;
        };
        let is_same_incarnation =
            self.entries[record.entry].incarnation == record.entry_incarnation;
        if !record.may_miss_answer && is_same_incarnation {
            self.audit.unanswered(record.job, record.submitted_at);
        }
        let is_departure_delayed = self.is_departure_delayed(&record);
        self.caller_lost(caller);
        if is_departure_delayed {
            self.schedule_departure(caller, record.entry);
        } else if is_same_incarnation && self.entries[record.entry].paused_until <= self.now {
            self.step_entry(record.entry, SchedulerEvent::Abandon { caller });
        }
    }

    /// Makes all callers of a job leave permanently, so that the job is not submitted again. The entry detects
    /// this at once, or when it resumes; a dead entry never detects it.
    pub(super) fn callers_leave(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_left = true;
        }
        let waiting = self.callers.iter().filter(|(_, record)| record.job == id);
        let waiting: Vec<(CallerId, Caller)> = waiting
            .map(|(caller, record)| (*caller, record.clone()))
            .collect();
        let mut noticed = self.now;
        for (caller, record) in waiting {
            let entry = record.entry;
            self.callers.remove(&caller);
            self.unanswered.insert(id);
            if self.is_departure_delayed(&record) {
                noticed = noticed.max(self.schedule_departure(caller, entry));
                continue;
            }
            let resumes_at = self.entries[entry].paused_until.max(self.now);
            noticed = noticed.max(resumes_at);
            let incarnation = self.entries[entry].incarnation;
            self.schedule.add(
                resumes_at,
                Action::Abandon {
                    entry,
                    incarnation,
                    caller,
                },
            );
        }
        self.audit.callers_left(id, noticed);
    }

    /// Makes the callers of a job at one entry leave. Other callers of the job stay.
    pub(super) fn callers_leave_entry(&mut self, job: JobId, entry: usize) {
        let is_leaving = |caller: &Caller| caller.job == job && caller.entry == entry;
        let leaving = self.callers.iter().filter(|(_, caller)| is_leaving(caller));
        let leaving: Vec<CallerId> = leaving.map(|(caller, _)| *caller).collect();
        for caller in leaving {
            self.callers.remove(&caller);
            self.unanswered.insert(job);
            self.step_entry(entry, SchedulerEvent::Abandon { caller });
        }
    }

    pub(super) fn caller_lost(&mut self, caller: CallerId) {
        if let Some(record) = self.callers.remove(&caller) {
            self.unanswered.insert(record.job);
            self.resend(record.job);
        }
    }

    pub(super) fn resend(&mut self, id: JobId) {
        let job = self.jobs.get(&id).filter(|job| !job.is_cancelled);
        if job.is_some_and(|job| job.tries < MAX_TRIES) {
            let entry = self.rng.random_range(0..self.settings.entries);
            self.schedule_in(RESEND_AFTER, Action::Submit { job: id, entry });
        }
    }
}
