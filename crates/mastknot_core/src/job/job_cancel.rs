use std::time::Duration;

use bincode::{Decode, Encode};

use super::JobId;
use crate::types::NodeName;

/// Order to a side to cancel a job: no entry may start tasks of it from now on.
///
/// It goes to the sides at which entries claim the job. They notify the entries that have the job or wait for it, and
/// refuse later claims of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct JobCancel {
    /// Identifier of the job.
    pub job: JobId,
    /// Time for which the side has to refuse claims of the job, in milliseconds.
    pub term_ms: u32,
}

impl JobCancel {
    /// Returns the time for which the side has to refuse claims of the job.
    pub fn term(&self) -> Duration {
        Duration::from_millis(u64::from(self.term_ms))
    }
}

/// Answer of a side to the cancel of a job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum CancelAnswer {
    /// At least one entry has claimed the job, and all entries that have it there are notified.
    Found {
        /// Entry that holds the claim; `None` if it has been released since.
        holder: Option<NodeName>,
        /// Time since the holder was granted the job, in milliseconds.
        held_ms: u64,
    },
    /// No entry has claimed the job.
    NotFound,
    /// The entry that holds the claim can't read the notification, because its version is older.
    Unreached {
        /// Entry that holds the claim.
        holder: NodeName,
    },
}

/// Outcome of a cancel for the caller that requested it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled: nothing more of it is started.
    Cancelled,
    /// There is no such job. If it is submitted later, nothing of it is started.
    NotFound,
    /// The sides that had to answer did not do so in time. The caller may retry.
    Unconfirmed,
}
