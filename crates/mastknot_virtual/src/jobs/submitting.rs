//! Jobs that callers hand in, and how they leave.

use std::sync::Arc;
use std::time::Duration;

use mastknot_core::job::{Capacity, JobId, JobRequest, StepSpec};
use mastknot_core::scheduler::ScarcitySettings;

use super::act::Act;
use super::job_system::{JobSystem, VirtualJob};

impl JobSystem {
    /// Hands in a job of `tasks` tasks of `work` each at a time and an entry.
    pub fn submit(&mut self, at: Duration, entry: usize, tasks: u16, work: Duration) -> JobId {
        self.submit_to("queue", at, entry, tasks, work)
    }

    /// Hands in a job to a queue.
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
        };
        self.jobs.insert(id, job);
        let at = at.as_micros() as u64;
        self.schedule.add(at, Act::Submit { job: id, entry });
        id
    }

    /// Gives a queue a priority; lower ones come first.
    pub fn set_priority(&mut self, queue: &str, priority: u32) {
        self.priorities.insert(Arc::from(queue), priority);
    }

    /// Sets what decides on room that is short, for entries that start from now on.
    pub fn set_scarcity(&mut self, scarcity: ScarcitySettings) {
        self.scarcity = scarcity;
    }

    /// Lets callers that are refused come back when they are told to, so often at most.
    pub fn set_max_returns(&mut self, most: u32) {
        self.most_returns = most;
    }

    /// All callers of a job leave at a time and do not come again.
    pub fn abandon_job(&mut self, at: Duration, job: JobId) {
        let at = at.as_micros() as u64;
        self.schedule.add(at, Act::Leave { job });
    }

    /// Lets the caller of a job guess this time for each of its tasks.
    pub fn set_estimate(&mut self, job: JobId, guess: Duration) {
        let job = self.jobs.get_mut(&job);
        let steps = job.into_iter().flat_map(|job| &mut job.request.steps);
        steps.for_each(|step| step.estimate = guess);
    }
}
