//! Bounded load, comparisons of policies, slopes and faults.
//!
//! This crate has no feature flags.

mod bench;
mod error;
mod keys;
mod overhead;
mod throughput;

pub use bench::{
    Arm, ArmReport, Arrival, Baseline, BenchProfile, ComparePlan, Outcome, Workload, WorkloadPlan,
    compare, format_table,
};
pub use error::LoadError;
pub use overhead::{OverheadPlan, OverheadReport, measure_overhead};
pub use throughput::{ThroughputPlan, ThroughputReport, measure_throughput};
