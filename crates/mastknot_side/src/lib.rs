//! Side process: grants the slots of its target to entries and runs tasks on the target over HTTP.
//!
//! This crate has no feature flags.

mod actor;
mod agent;
mod node;
mod settings;
mod target;

pub use agent::{
    AgentNode, AgentParts, AgentReport, EntryLookup, ProbeCall, StartCall, StopCall, TargetPort,
    find_entries, remember_target,
};
pub use node::{SideNode, StopReport};
pub use settings::SideFile;
