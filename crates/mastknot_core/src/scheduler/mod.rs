//! Core of an entry, which distributes the tasks of jobs over targets with free capacity.
//!
//! - [`JobScheduler`]: state machine of the entry, `step(now, event) -> effects`
//! - [`OrderKey`]: order in which waiting jobs are served

mod active_job;
mod active_links;
mod admission;
mod arrival_rates;
mod awaited_links;
mod cancel_notices;
mod cancel_outcomes;
mod cancel_request;
mod cancel_state;
mod cancelling;
mod claim_maintenance;
mod claim_state;
mod claiming;
mod class_slowdowns;
mod contained_kinds;
mod containment;
mod crash_history;
mod demand_forecast;
mod drained_halls;
mod forecast;
mod forecast_errors;
mod gang_starts;
mod held_grants;
mod job_ends;
mod job_forecast;
mod job_scheduler;
mod job_work;
mod kind_loads;
mod learned;
mod learned_priors;
mod load_view;
mod mean_waiting;
mod observed_load;
mod obtained_capacity;
mod order_key;
mod placed_mean;
mod placing;
mod queue_losses;
mod relaying;
mod retry_schedule;
mod reviewing;
mod run_at_crash;
mod run_times;
mod scarcity_settings;
mod scheduler_counters;
mod scheduler_decision;
mod scheduler_effect;
mod scheduler_event;
mod scheduler_settings;
mod share_weights;
mod side_links;
mod side_view;
mod submitting;
mod suspects;
mod target_classes;
mod yielding;

pub use admission::{Admission, AdmissionInput, REVIEW_INTERVAL};
pub use cancel_request::CancelRequest;
pub use forecast::{Forecast, ForecastInput};
pub use job_scheduler::JobScheduler;
pub use load_view::{KnownLoad, LoadView};
pub use order_key::{CompletionForecast, OrderKey};
pub use retry_schedule::{MAX_RETRY_DELAY, MIN_RETRY_DELAY, RetrySchedule};
pub use scarcity_settings::{ScarcitySettings, UnknownPart};
pub use scheduler_counters::SchedulerCounters;
pub use scheduler_decision::SchedulerDecision;
pub use scheduler_effect::SchedulerEffect;
pub use scheduler_event::{CallerId, SchedulerEvent};
pub use scheduler_settings::SchedulerSettings;

pub use crate::agent::SessionId;
