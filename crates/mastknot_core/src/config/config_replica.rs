use std::collections::BTreeMap;
use std::sync::Arc;

use crate::message::{ConfigDelta, ConfigItem, ResourceName};

/// Result of [`ConfigReplica::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The replica has moved to the delta's version.
    Advanced,
    /// The delta is not newer than the version in force; nothing has changed.
    Older,
    /// The delta starts after the replica's version, so changes in between are missing; nothing has
    /// changed.
    Gap,
}

/// One node's copy of the configuration.
///
/// Its version only rises, and so does the version of each resource, so a stale read, a repeated
/// watch event or a late message from another node has no effect. The version of a deleted resource
/// is kept, so that an older value cannot restore the resource.
///
/// # Examples
///
/// ```
/// use mastknot_core::config::{Applied, ConfigReplica};
/// use mastknot_core::message::{ConfigDelta, ConfigItem, ResourceName};
///
/// let item = |version, value: &str| ConfigItem {
///     resource: ResourceName::new("service", "orders"),
///     version,
///     value: Some(value.into()),
/// };
/// let mut replica = ConfigReplica::default();
/// let new = ConfigDelta { base: 0, version: 7, items: vec![item(7, "new")] };
/// let old = ConfigDelta { base: 0, version: 5, items: vec![item(5, "old")] };
/// assert_eq!(replica.apply(&new), Applied::Advanced);
/// assert_eq!(replica.apply(&old), Applied::Older);
/// assert_eq!(replica.get("service", "orders").as_deref(), Some("new"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    version: u64,
    items: BTreeMap<ResourceName, ConfigItem>,
    older_ignored: u64,
}

impl ConfigReplica {
    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns how many deltas and full copies were ignored because they were older than the
    /// version in force.
    pub fn older_ignored(&self) -> u64 {
        self.older_ignored
    }

    /// Puts a delta in force if it is newer and complete.
    pub fn apply(&mut self, delta: &ConfigDelta) -> Applied {
        if delta.version <= self.version {
            self.older_ignored += 1;
            return Applied::Older;
        }
        if delta.base > self.version {
            return Applied::Gap;
        }
        if delta.base == 0 {
            self.delete_absent(delta);
        }
        for item in &delta.items {
            self.put(item);
        }
        self.version = delta.version;
        Applied::Advanced
    }

    /// Marks the resources that a full copy leaves out as deleted, since it names every existing
    /// resource.
    fn delete_absent(&mut self, full: &ConfigDelta) {
        let named: std::collections::BTreeSet<_> =
            full.items.iter().map(|item| &item.resource).collect();
        for item in self.items.values_mut() {
            if item.value.is_some() && !named.contains(&item.resource) {
                item.value = None;
                item.version = full.version;
            }
        }
    }

    fn put(&mut self, item: &ConfigItem) {
        let is_newer = self
            .items
            .get(&item.resource)
            .is_none_or(|held| held.version < item.version);
        if is_newer {
            self.items.insert(item.resource.clone(), item.clone());
        }
    }

    /// Returns the JSON text of a resource, if the resource exists.
    pub fn get(&self, kind: &str, name: &str) -> Option<Arc<str>> {
        self.items
            .get(&ResourceName::new(kind, name))
            .and_then(|item| item.value.clone())
    }

    /// Returns the item of a resource with its version. A deleted resource has an item without a
    /// value.
    pub fn item(&self, resource: &ResourceName) -> Option<&ConfigItem> {
        self.items.get(resource)
    }

    /// Returns all existing resources of a kind.
    pub fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a ConfigItem> {
        self.items
            .values()
            .filter(move |item| &*item.resource.kind == kind && item.value.is_some())
    }

    /// Returns the changes that a replica at version `base` lacks, or a full copy if `base` is
    /// zero.
    pub fn delta_since(&self, base: u64) -> ConfigDelta {
        let items = self
            .items
            .values()
            .filter(|item| item.version > base)
            .filter(|item| base > 0 || item.value.is_some());
        ConfigDelta {
            base,
            version: self.version,
            items: items.cloned().collect(),
        }
    }
}
