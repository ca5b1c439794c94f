use std::time::Duration;

use bincode::{Decode, Encode};

use super::JobId;
use crate::types::NodeName;

/// Asks a side that no other entry starts anything of a job for a time.
///
/// All entries ask the same side about the same job, so that two of them that were handed the same job do not both start
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct JobClaim {
    /// The job.
    pub job: JobId,
    /// For how long, in milliseconds, unless it is released before.
    pub term_ms: u32,
    /// Whether the entry has had the job since it was granted: a side that has started since then grants it first.
    pub is_reclaim: bool,
}

impl JobClaim {
    /// For how long.
    pub fn term(&self) -> Duration {
        Duration::from_millis(u64::from(self.term_ms))
    }
}

/// What a side says to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The entry that asked may start the job.
    Granted,
    /// Another entry has claimed the job. The side says so again when that claim has ended and this one is granted.
    Held {
        /// The entry that has it.
        by: NodeName,
    },
}
