//! Complete system in one process on loopback ports, for the demo, the benchmark and tests.
//!
//! It consists of stand-ins, entries and sides, which run the same code as the separate processes.
//!
//! This crate has no feature flags.

mod error;
mod harness;
mod plan;

pub use error::HarnessError;
pub use harness::Harness;
pub use plan::Plan;
