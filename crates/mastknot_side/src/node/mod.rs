//! A side as a part of a process.

mod side_node;

pub use side_node::{SideNode, StopReport};
