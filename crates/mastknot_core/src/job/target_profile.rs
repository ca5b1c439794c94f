use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};

use super::Room;

/// The name of one life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct TargetId(pub Arc<str>);

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
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
    pub capacity: Room,
    /// Its kind and rack.
    pub labels: Vec<Arc<str>>,
}
