//! A whole system in one process on loopback ports: stand-ins, entries and sides, the same code
//! as the separate processes. For the demo, the bench and tests.
//!
//! This crate has no feature flags.

mod error;
mod harness;
mod plan;

pub use error::HarnessError;
pub use harness::Harness;
pub use plan::Plan;
