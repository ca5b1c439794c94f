//! Queueing, fairness, placement and early refusal at one entry.

mod active_submission;
mod credit_pool;
mod credit_requests;
mod dispatch_counters;
mod dispatch_effect;
mod dispatcher;
mod fair_level;
mod fair_queue;
mod hedging;
mod job_order;
mod peer_request;
mod pooled_side;
mod reports;
mod retry_budget;
mod service_estimate;
mod sides;
mod starting;
mod submissions;

pub use credit_pool::Candidate;
pub use dispatch_counters::DispatchCounters;
pub use dispatch_effect::{DispatchEffect, SubmissionOutcome};
pub use dispatcher::{Dispatcher, SideStatus};
pub use fair_queue::{FairQueue, NewSubmission, QueuedTask};
pub use job_order::JobOrder;
pub use retry_budget::RetryBudget;
pub use service_estimate::ServiceEstimate;
