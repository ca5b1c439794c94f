use std::fmt;

use bincode::{Decode, Encode};

use super::JobId;

/// A task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// Its step, from 0.
    pub step: u16,
    /// Its index within the step, from 0.
    pub index: u16,
}

/// One start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RunId {
    /// The task.
    pub task: TaskRef,
    /// The start's number; it rises.
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
