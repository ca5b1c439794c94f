//! The decision cores of mastknot in virtual time, with small fakes at their interfaces.
//!
//! The bench compares policies with it over many seeds in seconds, and the tests bring about
//! faults with it. It carries the messages of the real cores, keeps a fake store and fake
//! targets, and audits the promises; it knows nothing of how a decision is made. It is no
//! simulator of a platform: there are no packets, processors or disks in it.
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
