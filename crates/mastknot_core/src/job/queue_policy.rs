use std::sync::Arc;
use std::time::Duration;

/// Policy of one queue of jobs from the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Service whose targets run the tasks of the queue.
    pub service: Arc<str>,
    /// Priority of the queue; lower numbers come first.
    pub priority: u32,
    /// Number of failed attempts of a task that fails its job.
    pub max_attempts: u32,
    /// Factor of the latency objective: a job is on time if it completes within `stretch` times its
    /// longest chain of work plus `allowance`.
    pub stretch: f64,
    /// Fixed part of the latency objective, added to the part given by `stretch`.
    pub allowance: Duration,
    /// Whether the queues of the service have several priorities. Scarce capacity is then assigned
    /// by priority and share.
    pub is_ranked: bool,
    /// Version of the configuration that the policy comes from.
    pub version: u64,
}
