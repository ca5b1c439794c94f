//! Stand-ins for the services of a platform: a key-value service, a VM list and a worker.
//!
//! Tests, the demo and the benchmark use the stand-ins and can inject faults into them. The
//! key-value service implements the part of etcd's v3 JSON gateway that mastknot uses.
//!
//! This crate has no feature flags.

mod error;
mod store;
mod vms;
mod worker;

pub use error::StandInError;
pub use store::{StoreFaults, StoreStandIn};
pub use vms::{Vm, VmListStandIn, VmState};
pub use worker::{StartRecord, WorkerFaults, WorkerStandIn};
