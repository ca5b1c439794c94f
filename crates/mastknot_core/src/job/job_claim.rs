use std::time::Duration;

use bincode::{Decode, Encode};

use super::JobId;
use crate::types::NodeName;

/// Request to a side that no other entry may start tasks of a job for a limited time.
///
/// All entries send their claims on the same job to the same side, so that two entries that
/// received the same job do not both start it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct JobClaim {
    /// Identifier of the job.
    pub job: JobId,
    /// Time until the claim expires unless it is released before, in milliseconds.
    pub term_ms: u32,
    /// Whether the entry has held the job since the claim was first granted. A side that has
    /// started since then grants such claims before new ones.
    pub is_reclaim: bool,
}

impl JobClaim {
    /// Returns the time until the claim expires.
    pub fn term(&self) -> Duration {
        Duration::from_millis(u64::from(self.term_ms))
    }
}

/// Answer of a side to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The entry that asked may start the job.
    Granted,
    /// Another entry holds the claim. The side answers again when that claim has ended and this one
    /// is granted.
    Held {
        /// Entry that holds the claim.
        by: NodeName,
    },
    /// The job was cancelled. The side also sends this to an entry that holds the claim or waits for it, and only to
    /// entries that have announced [`LinkFeatures::has_cancels`](super::LinkFeatures::has_cancels).
    Cancelled {
        /// Entry at which the cancel was requested.
        by: NodeName,
    },
}
