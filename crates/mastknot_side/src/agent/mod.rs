//! Input and output of a side that runs tasks of known size under leases: links, timers, calls to
//! the target.

mod agent_actor;
mod agent_dialing;
mod agent_logs;
mod agent_metrics;
mod agent_node;
mod finding;
mod target_memory;
mod target_port;

pub use agent_actor::AgentReport;
pub use agent_node::{AgentNode, AgentParts};
pub use finding::{EntryLookup, find_entries};
pub use target_memory::remember_target;
pub use target_port::{ProbeCall, StartCall, StopCall, TargetPort};
