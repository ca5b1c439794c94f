//! Measurements under bounded load, comparisons of policies and fault injection.
//!
//! This crate has no feature flags.

mod bench;
mod curve;
mod error;
mod faults;
mod keys;
mod overhead;
mod process;
mod throughput;

pub use bench::{
    Arm, ArmReport, Arrival, Baseline, BenchProfile, ComparePlan, Outcome, Workload, WorkloadPlan,
    compare, format_table,
};
pub use curve::{TradePoint, draw_trade, measure_trade};
pub use error::LoadError;
pub use faults::{FaultAudit, FaultPhase, FaultsPlan, FaultsReport, run_faults};
pub use overhead::{OverheadPlan, OverheadReport, measure_overhead};
pub use throughput::{ThroughputPlan, ThroughputReport, measure_throughput};
