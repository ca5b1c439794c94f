use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{OrderOutcome, ProbeFailure, TargetView};
use mastknot_core::job::{RunId, TargetId};

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The run.
    pub run: RunId,
    /// What the target is given.
    pub payload: Arc<str>,
    /// The hold, on the target's clock in milliseconds.
    pub hold_until_ms: u64,
    /// The fencing token.
    pub token: u64,
    /// The life of the target that is meant.
    pub target: Option<TargetId>,
    /// How long an answer may take.
    pub timeout: Duration,
}

/// An order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The run.
    pub run: RunId,
    /// The fencing token.
    pub token: u64,
    /// How long an answer may take.
    pub timeout: Duration,
}

/// A look at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeCall {
    /// The hold, on the target's clock in milliseconds, if it is to be renewed.
    pub hold_until_ms: Option<u64>,
    /// The fencing token.
    pub token: u64,
    /// The highest end that has been noted.
    pub last_seen: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
    /// The life of the target that is meant.
    pub target: Option<TargetId>,
    /// How long an answer may take, its own wait included.
    pub timeout: Duration,
}

/// How a side speaks to its target; adapters implement it. Each call answers in bounded time.
pub trait TargetPort: Clone + Send + Sync + 'static {
    /// Orders a start.
    fn start(&self, call: StartCall) -> impl Future<Output = OrderOutcome> + Send;

    /// Orders a stop; whether the target acknowledged it.
    fn stop(&self, call: StopCall) -> impl Future<Output = bool> + Send;

    /// Looks at what runs and what has ended.
    fn probe(
        &self,
        call: ProbeCall,
    ) -> impl Future<Output = Result<TargetView, ProbeFailure>> + Send;
}
