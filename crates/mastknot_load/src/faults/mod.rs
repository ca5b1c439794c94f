//! Fault injection into the built binaries, with an audit at the end.
//!
//! Entries and sides are separate processes, which this tool starts, kills, pauses and stops by
//! their process ids. The stand-ins run inside the tool. The audit compares the answers of callers
//! with the task starts that the workers recorded.

mod audit;
mod callers;
mod run;
mod test_bed;

pub use audit::FaultAudit;
pub use run::{FaultPhase, FaultsPlan, FaultsReport, run_faults};
