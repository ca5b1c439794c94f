//! An entry as a part of a process.

mod entry_node;

pub use entry_node::{EntryNode, StopReport};
