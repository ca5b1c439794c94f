use bincode::{Decode, Encode};

use super::SubmissionKey;

/// Identifier of one task of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskId {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Index of the task in its submission, from zero.
    pub index: u16,
}
