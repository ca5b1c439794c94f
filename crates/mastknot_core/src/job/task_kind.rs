use std::fmt;

use bincode::{Decode, Encode};

use crate::types::stable_hash_of;

/// What tasks have in common that run the same program: where some of them crash their targets, others may.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct TaskKind(pub u32);

impl TaskKind {
    /// The kind of the tasks of a queue that run this image, if they name one.
    pub fn new(queue: &str, image: Option<&str>) -> Self {
        Self(stable_hash_of(&[queue, image.unwrap_or_default()]))
    }
}

impl fmt::Display for TaskKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
