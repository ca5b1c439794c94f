use std::fmt;

use bincode::{Decode, Encode};

use crate::types::stable_hash_of;

/// Group of tasks that run the same program. If some tasks of a kind crash their targets, others of
/// that kind may do so too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct TaskKind(pub u32);

impl TaskKind {
    /// Returns the kind of the tasks of a queue that run this image, or that name none.
    pub fn new(queue: &str, image: Option<&str>) -> Self {
        Self(stable_hash_of(&[queue, image.unwrap_or_default()]))
    }
}

impl fmt::Display for TaskKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
