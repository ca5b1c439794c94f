use serde::Serialize;

/// How far a configuration version is in force, as one entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigStatus {
    /// The version in force on this entry.
    pub version: u64,
    /// Nodes known to have at least that version in force.
    pub nodes_in_force: u32,
    /// Nodes in all: the entries of the roster and the connected sides.
    pub nodes: u32,
}
