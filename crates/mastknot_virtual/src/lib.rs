//! Runs the decision cores of mastknot in virtual time against small fakes of their interfaces.
//!
//! The benchmark uses the simulation to compare policies over many seeds in seconds, and the tests use it to
//! inject faults. The simulation carries the messages of the real cores, provides a fake store and fake
//! targets, and audits the guarantees; it contains no decision logic of its own. It does not simulate a
//! platform: there are no packets, processors or disks.
//!
//! This crate has no feature flags.

mod audit;
mod faults;
mod jobs;
mod store;
mod system;

pub use audit::{Audit, Violation};
pub use faults::{FaultRule, MessageFault, MessageKind, ProcessFault, Trigger};
pub use jobs::{
    Direction, DrainVariant, GivenAnswer, JobAudit, JobFault, JobFaultPlan, JobSystem,
    JobSystemSettings, JobViolation, LinkRecord, ProfileStore, StepRecord, TargetBehaviour,
    TaskCrash, VirtualTarget,
};
pub use store::{VirtualStore, VirtualStoreFaults};
pub use system::{Delays, EntryIndex, MessageCounts, SideIndex, SubmittedRequest, VirtualSystem};
