use std::time::Duration;

use crate::job::{Capacity, RankedWork, SideLoad};
use crate::types::{Hall, NodeName};

/// What an entry knows of the load: admission, return times and operators' views read it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadView {
    /// The sides that the entry uses for starts.
    pub sides: Vec<KnownLoad>,
    /// What waits at the entry itself, the most urgent first.
    pub own: Vec<RankedWork>,
}

/// What an entry knows of the load at one side.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLoad {
    /// The side.
    pub side: NodeName,
    /// Its hall.
    pub hall: Hall,
    /// What its target has in all.
    pub capacity: Capacity,
    /// How long work takes there against the middle of all targets: 2 for half as fast.
    pub slowdown: f64,
    /// The room that is believed to be free for this entry.
    pub free: Capacity,
    /// What waits there.
    pub load: SideLoad,
    /// The age of what is known.
    pub age: Duration,
}
