use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{OrderOutcome, ProbeFailure, TargetView};
use mastknot_core::job::{RunId, TargetId};

/// Request to the target to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// Run to start.
    pub run: RunId,
    /// Payload that the target receives.
    pub payload: Arc<str>,
    /// Time until which the target holds the run without a renewal, on the target's clock in
    /// milliseconds.
    pub hold_until_ms: u64,
    /// Fencing token of the side.
    pub token: u64,
    /// Incarnation of the target to which the request is addressed, if known.
    pub target: Option<TargetId>,
    /// Maximum time until the answer.
    pub timeout: Duration,
}

/// Request to the target to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// Run to stop.
    pub run: RunId,
    /// Fencing token of the side.
    pub token: u64,
    /// Maximum time until the answer.
    pub timeout: Duration,
}

/// Request for the runs of the target and their ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeCall {
    /// Time until which the target holds its runs without a further renewal, on the target's clock
    /// in milliseconds; `None` if the probe does not renew the hold.
    pub hold_until_ms: Option<u64>,
    /// Fencing token of the side.
    pub token: u64,
    /// Highest number of an end of run that the side has recorded.
    pub last_seen: u64,
    /// Maximum time that the target may delay its answer until a run ends.
    pub wait: Duration,
    /// Incarnation of the target to which the request is addressed, if known.
    pub target: Option<TargetId>,
    /// Maximum time until the answer, `wait` included.
    pub timeout: Duration,
}

/// Calls of a side to its target, implemented by an adapter for each kind of target.
///
/// Each call returns within the timeout of its request.
pub trait TargetPort: Clone + Send + Sync + 'static {
    /// Requests the start of a run and returns the target's answer.
    fn start(&self, call: StartCall) -> impl Future<Output = OrderOutcome> + Send;

    /// Requests the stop of a run; returns whether the target acknowledged the request.
    fn stop(&self, call: StopCall) -> impl Future<Output = bool> + Send;

    /// Probes the target: returns its runs and the ends of runs that the side has not recorded.
    fn probe(
        &self,
        call: ProbeCall,
    ) -> impl Future<Output = Result<TargetView, ProbeFailure>> + Send;
}
