use bincode::{Decode, Encode};

use super::SubmissionKey;

/// One task of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskId {
    /// The submission's key.
    pub key: SubmissionKey,
    /// The task's place in its job, from zero.
    pub index: u16,
}
