use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

use super::Payload;
use crate::types::{NodeName, SubmissionKey};

/// Digest of a submission's content, which distinguishes a resubmission from a reused key.
pub type Digest = u128;

/// Kind of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmissionKind {
    /// A job of parallel tasks.
    Job,
    /// A single service request.
    Request,
}

/// A job or a service request with the caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Submission {
    /// The caller's key, the same on every resubmission.
    pub key: SubmissionKey,
    /// Whether this is a job or a request.
    pub kind: SubmissionKind,
    /// Team whose quota and share the submission counts against.
    pub team: NodeName,
    /// Customer of the team for whom the work is done.
    pub customer: NodeName,
    /// Service that runs the work.
    pub service: NodeName,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Payloads of the tasks, in order.
    pub tasks: Vec<Payload>,
}

impl Submission {
    /// Returns the digest of everything except the key and the deadline.
    pub fn digest(&self) -> Digest {
        let mut hasher = Xxh3::new();
        hasher.update(&[self.kind as u8]);
        for name in [&self.team, &self.customer, &self.service] {
            hasher.update(&(name.as_str().len() as u64).to_be_bytes());
            hasher.update(name.as_str().as_bytes());
        }
        for task in &self.tasks {
            hasher.update(&(task.len() as u64).to_be_bytes());
            hasher.update(task);
        }
        hasher.digest128()
    }
}
