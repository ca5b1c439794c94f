//! Stand-ins for the platform: a key-value service, a VM list and a worker.
//!
//! They exist for tests, the demo and the bench, and can be told to fail. The key-value service
//! speaks the part of etcd's v3 JSON gateway that mastknot uses.
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
