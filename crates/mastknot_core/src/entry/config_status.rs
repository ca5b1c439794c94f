use serde::Serialize;

/// Rollout status of a configuration version, as seen by one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigStatus {
    /// Version in force on this entry.
    pub version: u64,
    /// Number of nodes known to have at least this version in force.
    pub nodes_in_force: u32,
    /// Total number of nodes: the entries of the roster and the connected sides.
    pub nodes: u32,
}
