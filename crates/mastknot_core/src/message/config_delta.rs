use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// The kind and name of one stored resource.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
pub struct ResourceName {
    /// The kind, such as `service`.
    pub kind: Arc<str>,
    /// The name within the kind.
    pub name: Arc<str>,
}

impl ResourceName {
    /// The resource `name` of `kind`.
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
    /// Which resource.
    pub resource: ResourceName,
    /// The version of the store at which it was written or deleted.
    pub version: u64,
    /// Its JSON text, none when it was deleted.
    pub value: Option<Arc<str>>,
}

/// Changes to the configuration, complete up to `version`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigDelta {
    /// The changes apply to a replica that has everything up to this version;
    /// zero for a full copy.
    pub base: u64,
    /// The store's version after the changes.
    pub version: u64,
    /// The changed resources.
    pub items: Vec<ConfigItem>,
}
