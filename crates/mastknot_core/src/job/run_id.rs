use std::fmt;

use bincode::{Decode, Encode};

use super::JobId;

/// Identifier of one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskRef {
    /// Identifier of the job.
    pub job: JobId,
    /// Index of the step within the job, from 0.
    pub step: u16,
    /// Index of the task within the step, from 0.
    pub index: u16,
}

/// Identifier of one run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RunId {
    /// The task.
    pub task: TaskRef,
    /// Attempt number; each later start of the task has a higher one.
    pub attempt: u64,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { job, step, index } = self;
        write!(f, "{job}/{step}/{index}")
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}
