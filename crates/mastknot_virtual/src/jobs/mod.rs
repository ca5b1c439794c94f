//! Jobs of sized tasks: the real cores of entries and sides, with fake targets, links and callers.

mod act;
mod bad_tasks;
mod callers;
mod draining;
mod held_requests;
mod job_audit;
mod job_faults;
mod job_system;
mod links;
mod node;
mod observing;
mod processes;
mod profile_store;
mod publishing;
mod sharing;
mod step_record;
mod strikes;
mod submitting;
mod target_memory;
mod target_slot;
mod targets;
mod thin_links;
mod variants;
mod virtual_target;

pub use bad_tasks::TaskCrash;
pub use draining::DrainVariant;
pub use job_audit::{GivenAnswer, JobAudit, JobViolation};
pub use job_faults::{Direction, JobFault, JobFaultPlan};
pub use job_system::{JobSystem, JobSystemSettings};
pub use profile_store::ProfileStore;
pub use step_record::StepRecord;
pub use thin_links::LinkRecord;
pub use virtual_target::{TargetBehaviour, VirtualTarget};
