use bincode::{Decode, Encode};

use super::{Digest, Payload};
use crate::types::{NodeName, TaskId};

/// Data that a side needs to run one task on its target.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// Number of tasks in the submission, from which its answer can be rebuilt.
    pub count: u16,
    /// Digest of the submission's content, from which its answer can be rebuilt.
    pub digest: Digest,
    /// Service that runs the task.
    pub service: NodeName,
    /// Time left until the submission's deadline when the order is sent, in milliseconds.
    pub deadline_ms: u32,
    /// Input that the target receives.
    pub payload: Payload,
}
