//! An entry that runs inside a process: its actor, HTTP servers and feeds.

mod entry_node;

pub use entry_node::{EntryNode, StopReport};
