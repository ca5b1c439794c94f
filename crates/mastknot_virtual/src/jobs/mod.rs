//! Simulation of jobs with sized tasks: the real cores of entries and sides with fake targets, links and
//! callers.

mod action;
mod bad_tasks;
mod callers;
mod cancelling;
mod delayed_requests;
mod draining;
mod fault_handling;
mod job_audit;
mod job_faults;
mod job_system;
mod limited_links;
mod links;
mod node;
mod observing;
mod processes;
mod profile_store;
mod publishing;
mod sharing;
mod step_record;
mod submitting;
mod target_profiles;
mod target_slot;
mod targets;
mod variants;
mod virtual_target;

pub use bad_tasks::TaskCrash;
pub use draining::DrainVariant;
pub use job_audit::{GivenAnswer, JobAudit, JobViolation};
pub use job_faults::{Direction, JobFault, JobFaultPlan};
pub use job_system::{JobSystem, JobSystemSettings};
pub use limited_links::LinkRecord;
pub use profile_store::ProfileStore;
pub use step_record::StepRecord;
pub use virtual_target::{TargetBehaviour, VirtualTarget};
