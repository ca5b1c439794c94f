use std::collections::BTreeMap;
use std::time::Duration;

use mastknot_core::types::Moment;

use super::Directory;

/// Time after the end of a store outage in which entries whose leases expired during the outage may list themselves
/// again. An entry that is still missing afterwards is removed.
const RELIST_GRACE: Duration = Duration::from_secs(2);

/// State of a key of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Listed<V> {
    /// The key has a value that can be read.
    Value(V),
    /// The key has a value that no entry writes, so the last known value of the entry stays in effect.
    Unreadable,
    /// The key does not exist.
    Gone,
}

/// The listed entries as a process knows them, including those kept through an outage of the store.
#[derive(Clone, Debug)]
pub(super) struct DirectoryView<V> {
    entries: Directory<V>,
    /// Entries whose keys disappeared around the end of a store outage, with the moments at which they are removed.
    missing: BTreeMap<String, Moment>,
    is_store_down: bool,
    /// End of the last store outage.
    outage_ended_at: Option<Moment>,
}

impl<V> Default for DirectoryView<V> {
    fn default() -> Self {
        Self {
            entries: Directory::new(),
            missing: BTreeMap::new(),
            is_store_down: false,
            outage_ended_at: None,
        }
    }
}

impl<V> DirectoryView<V> {
    /// Returns the entries that count as listed.
    pub(super) fn entries(&self) -> &Directory<V> {
        &self.entries
    }

    /// Records a call to the store that failed.
    pub(super) fn record_failure(&mut self) {
        self.is_store_down = true;
    }

    /// Records a call to the store that succeeded.
    pub(super) fn record_success(&mut self, now: Moment) {
        if std::mem::take(&mut self.is_store_down) {
            self.outage_ended_at = Some(now);
        }
    }

    /// Applies the complete list of keys in the store.
    pub(super) fn replace(&mut self, now: Moment, listed: Vec<(String, Listed<V>)>) {
        let known: Vec<String> = self.entries.keys().cloned().collect();
        let is_listed = |name: &String| listed.iter().any(|(other, _)| other == name);
        let unlisted: Vec<String> = known.into_iter().filter(|name| !is_listed(name)).collect();
        for name in unlisted {
            self.remove(now, &name);
        }
        for (name, value) in listed {
            self.apply(now, name, value);
        }
    }

    /// Applies one change of a key.
    pub(super) fn apply(&mut self, now: Moment, name: String, value: Listed<V>) {
        match value {
            Listed::Value(value) => {
                self.missing.remove(&name);
                self.entries.insert(name, value);
            }
            Listed::Unreadable => {}
            Listed::Gone => self.remove(now, &name),
        }
    }

    /// Returns the moment at which the next missing entry is removed.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        self.missing.values().min().copied()
    }

    /// Removes the missing entries whose time has passed.
    pub(super) fn expire(&mut self, now: Moment) {
        let entries = &mut self.entries;
        self.missing.retain(|name, gone| {
            let is_gone = *gone <= now;
            if is_gone {
                entries.remove(name);
            }
            !is_gone
        });
    }

    /// Removes an entry. Shortly after a store outage, it is only marked as missing.
    fn remove(&mut self, now: Moment, name: &str) {
        let grace_ends = self.outage_ended_at.map(|ended_at| ended_at + RELIST_GRACE);
        match grace_ends.filter(|ends| *ends > now) {
            Some(ends) if self.entries.contains_key(name) => {
                self.missing.entry(name.to_owned()).or_insert(ends);
            }
            _ => {
                self.missing.remove(name);
                self.entries.remove(name);
            }
        }
    }
}
