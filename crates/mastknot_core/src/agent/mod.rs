//! The core of a side that runs sized tasks on its target under leases.
//!
//! - [`TargetAgent`]: `step(now, event) -> effects`
//! - [`RunTable`]: the runs that take room
//! - [`HallShares`]: whose hall is next among equals
//! - [`DialOrder`]: which entries it dials first
//! - [`TargetHealth`]: how a target's recent ends change what it is given

mod agent_decision;
mod agent_effect;
mod agent_event;
mod agent_settings;
mod answer_times;
mod claim_grace;
mod claiming;
mod confirm_times;
mod contact_loss;
mod crash_log;
mod dial_backoff;
mod dial_order;
mod directory_news;
mod entry_links;
mod expected_ends;
mod grant_order;
mod granting;
mod hall_shares;
mod hall_totals;
mod job_claims;
mod learning;
mod looks;
mod offers;
mod order_answers;
mod orders;
mod owners;
mod queued_starts;
mod rebirths;
mod reporting;
mod run_table;
mod run_views;
mod sharing;
mod side_load;
mod target_agent;
mod target_condition;
mod target_health;
mod target_link;
mod target_lives;
mod target_pace;
mod target_reports;

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
pub use target_lives::TargetReport;

/// One link between a side and an entry, unique within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
