//! Core of a side that runs sized tasks on its target under leases.
//!
//! - [`TargetAgent`]: state machine with `step(now, event) -> effects`
//! - [`RunTable`]: runs that take capacity at the target
//! - [`HallShares`]: order of halls whose needs are equally urgent
//! - [`DialOrder`]: order in which a side dials entries
//! - [`TargetHealth`]: restriction of a target after failed runs

mod agent_decision;
mod agent_effect;
mod agent_event;
mod agent_settings;
mod answer_times;
mod cancelled_jobs;
mod cancelling;
mod claim_grace;
mod claiming;
mod confirm_times;
mod contact_loss;
mod crash_log;
mod dial_backoff;
mod dial_order;
mod directory_digests;
mod entry_links;
mod expected_ends;
mod grant_order;
mod granting;
mod hall_shares;
mod hall_totals;
mod job_claims;
mod learning;
mod offers;
mod order_answers;
mod orders;
mod owners;
mod probe_results;
mod probes;
mod queued_starts;
mod reporting;
mod run_table;
mod sharing;
mod side_load;
mod target_agent;
mod target_condition;
mod target_health;
mod target_incarnations;
mod target_link;
mod target_reports;
mod target_restarts;
mod target_slowdown;

pub use agent_decision::{AgentDecision, LeaseEndCause};
pub use agent_effect::AgentEffect;
pub use agent_event::{
    AgentEvent, FinishReason, OrderOutcome, OrderRefusal, ProbeFailure, TargetFinished,
    TargetRunning, TargetView,
};
pub use agent_settings::AgentSettings;
pub use confirm_times::ConfirmTimes;
pub use dial_backoff::DialBackoff;
pub use dial_order::DialOrder;
pub use hall_shares::HallShares;
pub use hall_totals::{HallTotal, HallTotals};
pub use run_table::{Run, RunPhase, RunTable};
pub use target_agent::TargetAgent;
pub use target_health::TargetHealth;
pub use target_incarnations::TargetReport;

/// Identifier of a link between a side and an entry, unique within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
