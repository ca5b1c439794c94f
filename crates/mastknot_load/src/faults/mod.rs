//! The built binaries under real faults, with an audit at the end.
//!
//! Entries and sides are processes, which this tool starts, kills, pauses and stops by their own
//! ids. The stand-ins run inside the tool; the workers' record of true starts is what the audit
//! reads.

mod audit;
mod bed;
mod callers;
mod run;

pub use audit::FaultAudit;
pub use run::{FaultPhase, FaultsPlan, FaultsReport, run_faults};
