use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Name of a process of the system, unique among processes of its kind.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct NodeName(Arc<str>);

impl NodeName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl<T: AsRef<str>> From<T> for NodeName {
    fn from(text: T) -> Self {
        Self(Arc::from(text.as_ref()))
    }
}

impl fmt::Display for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
