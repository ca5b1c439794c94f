use bincode::{Decode, Encode};

use super::{Digest, Payload};
use crate::types::{NodeName, TaskId};

/// Everything a side needs to run one task on its target.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// How many tasks the submission has, so that an answer can be rebuilt.
    pub count: u16,
    /// The digest of the submission's content, for rebuilding its answer.
    pub digest: Digest,
    /// The service that runs it.
    pub service: NodeName,
    /// What is left until the submission's deadline when sent, in milliseconds.
    pub deadline_ms: u32,
    /// The bytes for the target.
    pub payload: Payload,
}
