//! Policies compared on the same arrivals, in virtual time.
//!
//! The arm `credits` runs the real cores. The arms `random`, `least-reported` and `two-probes`
//! are baselines: they push a task to a side at once, where it queues. `omniscient` is one
//! central queue that sees every slot without delay and starts the shortest remaining
//! submission first; it is the ideal that the others are measured against.

mod arms;
mod compare;
mod profile;
mod report;
mod workload;

pub use arms::{Arm, Baseline};
pub(crate) use compare::median_of;
pub use compare::{ComparePlan, compare, format_table};
pub use profile::BenchProfile;
pub use report::{ArmReport, Outcome};
pub use workload::{Arrival, Workload, WorkloadPlan};
