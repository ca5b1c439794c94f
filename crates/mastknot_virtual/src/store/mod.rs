//! Fake of the platform's key-value service.

use std::collections::BTreeMap;
use std::time::Duration;

use mastknot_core::config::{StoredResource, WriteCall};
use mastknot_core::message::{ConfigDelta, ConfigItem, ResourceName};
use mastknot_core::roster::{Roster, RosterWrite, WriteDecision};

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VirtualStoreFaults {
    /// Whether calls fail and watches deliver no updates.
    pub is_down: bool,
    /// Additional time that each answer takes.
    pub extra_delay: Duration,
    /// Number of following writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Whether watches deliver no updates.
    pub is_watch_silent: bool,
    /// Number of most recent writes that are missing in the answers of lists.
    pub stale_writes: u64,
}

/// Versioned store that holds a roster and resources.
#[derive(Clone, Debug, Default)]
pub struct VirtualStore {
    /// Faults of the store that are in force.
    pub faults: VirtualStoreFaults,
    /// Number of calls so far.
    pub calls: u64,
    revision: u64,
    roster: Option<(u64, Roster)>,
    writes: Vec<(u64, ResourceName, StoredResource)>,
}

impl VirtualStore {
    /// Returns the roster with its revision.
    pub fn roster(&self) -> Option<(u64, Roster)> {
        self.roster.clone()
    }

    /// Replaces the roster if the store holds the revision that the write expects.
    pub fn write_roster(&mut self, write: RosterWrite) -> WriteDecision {
        let held = self.roster.as_ref().map_or(0, |(revision, _)| *revision);
        if held != write.expected_revision {
            return WriteDecision::Superseded;
        }
        self.revision += 1;
        self.roster = Some((self.revision, write.roster));
        WriteDecision::Written(self.revision)
    }

    /// Returns whether the answer to a write that took effect is lost, and counts down the lost answers.
    pub fn loses_answer(&mut self) -> bool {
        let loses = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        loses
    }

    /// Returns a resource with its revision.
    pub fn resource(&self, name: &ResourceName) -> Option<(u64, StoredResource)> {
        let found = self.writes.iter().rev().find(|(_, other, _)| other == name);
        found.map(|(revision, _, resource)| (*revision, resource.clone()))
    }

    /// Replaces a resource if the store holds the expected revision.
    pub fn write_resource(
        &mut self,
        name: &ResourceName,
        expected_revision: u64,
        resource: StoredResource,
    ) -> WriteCall {
        let held = self.resource(name).map_or(0, |(revision, _)| revision);
        if held != expected_revision {
            return WriteCall::NotSwapped;
        }
        self.revision += 1;
        self.writes.push((self.revision, name.clone(), resource));
        WriteCall::Swapped(self.revision)
    }

    /// Returns the whole configuration without the `stale` most recent writes.
    pub fn list(&self, stale: u64) -> ConfigDelta {
        let kept = self.writes.len().saturating_sub(stale as usize);
        let mut latest: BTreeMap<ResourceName, ConfigItem> = BTreeMap::new();
        for (version, resource, stored) in &self.writes[..kept] {
            let value = stored.value.as_ref().map(|value| value.to_string().into());
            let item = ConfigItem {
                resource: resource.clone(),
                version: *version,
                value,
            };
            latest.insert(resource.clone(), item);
        }
        ConfigDelta {
            base: 0,
            version: latest.values().map(|item| item.version).max().unwrap_or(0),
            items: latest.into_values().collect(),
        }
    }
}
