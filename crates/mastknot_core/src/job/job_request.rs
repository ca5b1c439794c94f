use std::sync::Arc;

use snafu::Snafu;

use super::{JobId, StepSpec};

/// Maximum number of tasks in one job.
const MAX_TASKS: u64 = 1_000;
/// Maximum number of steps in one job.
pub const MAX_STEPS: usize = 100;
/// Memory that one task takes in an entry until its job is answered, in bytes: its state, and its place in queues.
const TASK_BYTES: u64 = 256;
/// Memory that one step takes beside its texts, in bytes.
const STEP_BYTES: usize = 512;

/// A job as a caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// Identifier that the caller gave the job.
    pub id: JobId,
    /// The caller's name for this request, written to logs.
    pub request_id: Arc<str>,
    /// Input that the target of each task receives.
    pub payload: Arc<str>,
    /// Steps of the job, in order.
    pub steps: Vec<StepSpec>,
}

/// Reason why a job is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobRequestError {
    /// The job has no tasks.
    #[snafu(display("a job needs at least one task"))]
    NoTasks,
    /// The job has too many tasks or steps.
    #[snafu(display("a job has at most {MAX_TASKS} tasks in {MAX_STEPS} steps"))]
    TooLarge,
    /// A step waits for itself or for a later step.
    #[snafu(display("step {step} waits for step {after}, which is not an earlier step"))]
    BadOrder {
        /// Index of the waiting step.
        step: usize,
        /// Index of the step that it waits for.
        after: u16,
    },
}

impl JobRequest {
    /// Estimates the memory that the job takes in an entry until it is answered, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        self.payload.len() + self.request_id.len() + steps + (tasks * TASK_BYTES) as usize
    }

    /// Checks everything that does not depend on the state of the system: the number of tasks and
    /// steps, and their order.
    pub fn check(&self) -> Result<(), JobRequestError> {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks == 0 {
            return Err(JobRequestError::NoTasks);
        }
        if tasks > MAX_TASKS || self.steps.len() > MAX_STEPS {
            return Err(JobRequestError::TooLarge);
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let late = spec.after.iter().find(|after| usize::from(**after) >= step);
            if let Some(after) = late {
                return Err(JobRequestError::BadOrder {
                    step,
                    after: *after,
                });
            }
        }
        Ok(())
    }
}

fn step_bytes(step: &StepSpec) -> usize {
    let texts = [&step.required_label, &step.preferred_rack, &step.image];
    let texts: usize = texts.into_iter().flatten().map(|text| text.len()).sum();
    STEP_BYTES + texts + size_of_val(step.after.as_slice())
}
