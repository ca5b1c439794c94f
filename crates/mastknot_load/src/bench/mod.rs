//! Comparison of policies on the same arrivals, in virtual time.
//!
//! The arm `credits` runs the real cores. The arms `random`, `least-reported` and `two-probes`
//! are baselines: they push a task at once to a side, where it queues. `omniscient` is a central
//! queue that knows the state of every slot without delay and starts the submission with the fewest
//! remaining tasks first; it is the ideal that the other arms are measured against.

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
