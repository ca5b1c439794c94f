//! Submission of jobs by callers, and their departure.

use std::sync::Arc;
use std::time::Duration;

use mastknot_core::job::{Capacity, JobId, JobRequest, StepSpec};
use mastknot_core::scheduler::ScarcitySettings;

use super::action::Action;
use super::job_system::{JobSystem, VirtualJob};

impl JobSystem {
    /// Schedules the submission of a job of `tasks` tasks, each of which takes `work`, to an entry.
    pub fn submit(&mut self, at: Duration, entry: usize, tasks: u16, work: Duration) -> JobId {
        self.submit_to("queue", at, entry, tasks, work)
    }

    /// Schedules the submission of a job to a queue.
    pub fn submit_to(
        &mut self,
        queue: &str,
        at: Duration,
        entry: usize,
        tasks: u16,
        work: Duration,
    ) -> JobId {
        let id = JobId(0x1000 + self.jobs.len() as u64);
        let request = JobRequest {
            id,
            request_id: Arc::from(format!("r{}", id.0)),
            payload: Arc::from("text"),
            steps: vec![StepSpec {
                count: tasks,
                required_capacity: Capacity {
                    cpu_millis: 1_600,
                    memory_mb: 64,
                    accelerators: 0,
                },
                estimate: work,
                ..StepSpec::default()
            }],
        };
        let job = VirtualJob {
            request,
            work: work.as_micros() as u64,
            queue: Arc::from(queue),
            tries: 0,
            returns: 0,
            has_left: false,
            is_cancelled: false,
        };
        self.jobs.insert(id, job);
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::Submit { job: id, entry });
        id
    }

    /// Sets the priority of a queue; queues with lower numbers come first.
    pub fn set_priority(&mut self, queue: &str, priority: u32) {
        self.priorities.insert(Arc::from(queue), priority);
    }

    /// Sets the decisions on scarce capacity for entries that start from now on.
    pub fn set_scarcity(&mut self, scarcity: ScarcitySettings) {
        self.scarcity = scarcity;
    }

    /// Sets how often refused callers retry, each time after the delay that the refusal named.
    pub fn set_max_returns(&mut self, max_returns: u32) {
        self.max_returns = max_returns;
    }

    /// Schedules another submission of a job, by another caller.
    pub fn submit_again(&mut self, at: Duration, entry: usize, job: JobId) {
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::Submit { job, entry });
    }

    /// Schedules that the callers of a job at one entry leave.
    pub fn leave_entry(&mut self, at: Duration, entry: usize, job: JobId) {
        let at = at.as_micros() as u64;
        self.schedule
            .add(at, Action::CallersLeaveEntry { job, entry });
    }

    /// Schedules that all callers of a job leave and do not submit it again.
    pub fn abandon_job(&mut self, at: Duration, job: JobId) {
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::CallersLeave { job });
    }

    /// Sets the caller's estimate of the run time of each task of a job.
    pub fn set_estimate(&mut self, job: JobId, guess: Duration) {
        let job = self.jobs.get_mut(&job);
        let steps = job.into_iter().flat_map(|job| &mut job.request.steps);
        steps.for_each(|step| step.estimate = guess);
    }
}
