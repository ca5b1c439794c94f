//! A side that runs inside a process: its actor, metrics server and exporter.

mod side_node;

pub use side_node::{SideNode, StopReport};
