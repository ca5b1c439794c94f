use std::sync::Arc;
use std::time::Duration;

use crate::job::JobId;

/// Request of a caller to cancel a job, which any entry may receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelRequest {
    /// Job to cancel.
    pub job: JobId,
    /// Caller's identifier of this request.
    pub request_id: Arc<str>,
    /// Time that callers usually wait for the answer to a job of this queue. A request that submits the job may be in
    /// transit for as long.
    pub job_timeout: Duration,
    /// Time that the caller waits for the outcome of this request.
    pub time_left: Duration,
}
