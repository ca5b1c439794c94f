use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

use super::Payload;
use crate::types::{NodeName, SubmissionKey};

/// The digest of a submission's content, which tells a resubmission from a reused key.
pub type Digest = u128;

/// What a caller submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmissionKind {
    /// A job of parallel tasks.
    Job,
    /// One service request.
    Request,
}

/// A job or a service request with the caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Submission {
    /// The caller's key, the same on every resubmission.
    pub key: SubmissionKey,
    /// Job or request.
    pub kind: SubmissionKind,
    /// The team it is counted to.
    pub team: NodeName,
    /// The team's customer it is for.
    pub customer: NodeName,
    /// The service that runs it.
    pub service: NodeName,
    /// What is left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// The tasks' bytes, in order.
    pub tasks: Vec<Payload>,
}

impl Submission {
    /// The digest of everything but the key and the deadline.
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
