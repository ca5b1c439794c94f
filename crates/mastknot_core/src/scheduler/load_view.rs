use std::time::Duration;

use crate::job::{Capacity, RankedWork, SideLoad};
use crate::types::{Hall, NodeName};

/// Load as known to an entry, for admission, retry times and the views of operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadView {
    /// Sides that the entry uses for starts.
    pub sides: Vec<KnownLoad>,
    /// Work that waits at the entry itself, the most urgent first.
    pub own_waiting: Vec<RankedWork>,
}

/// Load at one side as known to an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLoad {
    /// Name of the side.
    pub side: NodeName,
    /// Hall of the side.
    pub hall: Hall,
    /// Total capacity of the side's target.
    pub capacity: Capacity,
    /// Time that work takes at the target relative to the mean of all targets: 2 means half as fast.
    pub slowdown: f64,
    /// Capacity that is assumed to be free for this entry.
    pub free: Capacity,
    /// Work that waits at the side.
    pub load: SideLoad,
    /// Age of the information.
    pub age: Duration,
}
