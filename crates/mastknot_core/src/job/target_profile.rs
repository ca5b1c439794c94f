use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};

use super::Capacity;

/// One life of a target: a target may start again under its old name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct TargetId {
    /// The target's name.
    pub name: Arc<str>,
    /// When this life started, in Unix milliseconds by the target's clock; 0 if it does not say.
    pub started_at_ms: u64,
}

impl TargetId {
    /// A life whose start is not known.
    pub fn named(name: impl Into<Arc<str>>) -> Self {
        Self::started_at(name, 0)
    }

    /// A life that started at this time.
    pub fn started_at(name: impl Into<Arc<str>>, born_ms: u64) -> Self {
        Self {
            name: name.into(),
            started_at_ms: born_ms,
        }
    }

    /// Whether this is a life of the same name that ended before `other` began. One that does not say when it started
    /// comes from before targets did.
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

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TargetProfile {
    /// This life of it.
    pub id: TargetId,
    /// The service that it serves.
    pub service: Arc<str>,
    /// What it has in all.
    pub capacity: Capacity,
    /// Its kind and rack.
    pub labels: Vec<Arc<str>>,
}
