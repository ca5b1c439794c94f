//! Entry process: HTTP interfaces for callers and operators, queues and the placement of tasks.
//!
//! This crate has no feature flags.

mod actor;
mod callers;
mod jobs;
mod link_listener;
mod node;
mod operators;
mod peers;
mod platform;
mod settings;

pub use jobs::{JobNode, JobParts, JobReport, Submission};
pub use node::{EntryNode, StopReport};
pub use settings::EntryFile;
