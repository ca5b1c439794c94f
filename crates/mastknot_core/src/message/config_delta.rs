use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Kind and name of one stored resource.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
pub struct ResourceName {
    /// Kind of the resource, such as `service`.
    pub kind: Arc<str>,
    /// Name within the kind.
    pub name: Arc<str>,
}

impl ResourceName {
    /// Returns the resource `name` of the kind `kind`.
    pub fn new(kind: impl Into<Arc<str>>, name: impl Into<Arc<str>>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

impl fmt::Display for ResourceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// One resource at one version.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigItem {
    /// Kind and name of the resource.
    pub resource: ResourceName,
    /// Version of the store at which the resource was written or deleted.
    pub version: u64,
    /// JSON text of the resource; `None` if it was deleted.
    pub value: Option<Arc<str>>,
}

/// Changes to the configuration, complete up to `version`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigDelta {
    /// Version that a replica must have reached for the changes to apply to it; 0 for a full copy.
    pub base: u64,
    /// Version of the store after the changes.
    pub version: u64,
    /// The changed resources.
    pub items: Vec<ConfigItem>,
}
