use std::sync::Arc;

use snafu::Snafu;

use super::{JobId, StepSpec};

/// The most tasks that one job may have.
const MAX_TASKS: u64 = 1_000;
/// The most steps that one job may have.
const MAX_STEPS: usize = 100;

/// A job as a caller handed it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// The caller's name for it.
    pub id: JobId,
    /// The caller's name for this request, for logs.
    pub request_id: Arc<str>,
    /// What each task's target is given.
    pub payload: Arc<str>,
    /// The steps, in order.
    pub steps: Vec<StepSpec>,
}

/// Why a job can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobRequestError {
    /// It has no tasks.
    #[snafu(display("a job needs at least one task"))]
    NoTasks,
    /// It has too many tasks or steps.
    #[snafu(display("a job has at most {MAX_TASKS} tasks in {MAX_STEPS} steps"))]
    TooLarge,
    /// A step waits for itself or for a later one.
    #[snafu(display("step {step} waits for step {after}, which is not an earlier one"))]
    BadOrder {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u16,
    },
}

impl JobRequest {
    /// Checks what can be checked without the state of the system.
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
