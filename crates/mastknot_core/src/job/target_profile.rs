use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};

use super::Capacity;

/// One incarnation of a target. A target may restart under the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct TargetId {
    /// Name of the target.
    pub name: Arc<str>,
    /// Start time of this incarnation by the target's clock, in Unix milliseconds; 0 if the target
    /// does not report it.
    pub started_at_ms: u64,
}

impl TargetId {
    /// Returns an incarnation whose start time is not known.
    pub fn named(name: impl Into<Arc<str>>) -> Self {
        Self::started_at(name, 0)
    }

    /// Returns an incarnation with this start time.
    pub fn started_at(name: impl Into<Arc<str>>, born_ms: u64) -> Self {
        Self {
            name: name.into(),
            started_at_ms: born_ms,
        }
    }

    /// Returns whether this is an earlier incarnation of the same target than `other`. An
    /// incarnation without a start time counts as earlier than those with one.
    pub fn precedes(&self, other: &Self) -> bool {
        self.name == other.name && self.started_at_ms < other.started_at_ms
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at_ms {
            0 => f.write_str(&self.name),
            born_ms => write!(f, "{}@{born_ms}", self.name),
        }
    }
}

/// A target's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetProfile {
    /// Incarnation of the target.
    pub id: TargetId,
    /// Service that the target runs.
    pub service: Arc<str>,
    /// Total capacity of the target.
    pub capacity: Capacity,
    /// Labels of the target, such as its class and rack.
    pub labels: Vec<Arc<str>>,
}
