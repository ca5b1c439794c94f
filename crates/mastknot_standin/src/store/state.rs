use std::collections::BTreeMap;

use tokio::sync::watch;

use super::StoreFaults;

/// Change of a key at a revision: its new value, or `None` if the key was deleted.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: Vec<u8>,
    pub(super) value: Option<Vec<u8>>,
}

/// Contents of the store: every change since its start, in order, and the current values.
#[derive(Debug)]
pub(super) struct State {
    pub(super) faults: StoreFaults,
    pub(super) calls: BTreeMap<String, u64>,
    changes: Vec<Change>,
    current: BTreeMap<Vec<u8>, Change>,
    revision: u64,
    pub(super) revisions: watch::Sender<u64>,
}

impl State {
    pub(super) fn new() -> Self {
        Self {
            faults: StoreFaults::default(),
            calls: BTreeMap::new(),
            changes: Vec::new(),
            current: BTreeMap::new(),
            revision: 1,
            revisions: watch::Sender::new(1),
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn mod_revision(&self, key: &[u8]) -> u64 {
        self.current.get(key).map_or(0, |change| change.revision)
    }

    pub(super) fn put(&mut self, key: Vec<u8>, value: Option<Vec<u8>>) -> u64 {
        self.revision += 1;
        let change = Change {
            revision: self.revision,
            key: key.clone(),
            value,
        };
        self.changes.push(change.clone());
        if change.value.is_some() {
            self.current.insert(key, change);
        } else {
            self.current.remove(&key);
        }
        self.revisions.send_replace(self.revision);
        self.revision
    }

    /// Returns the keys of a range that existed at a revision, with their values at that time.
    pub(super) fn range(&self, from: &[u8], to: Option<&[u8]>, at: u64) -> Vec<Change> {
        let mut found: BTreeMap<Vec<u8>, Change> = BTreeMap::new();
        for change in &self.changes {
            if change.revision > at || !contains(from, to, &change.key) {
                continue;
            }
            if change.value.is_some() {
                found.insert(change.key.clone(), change.clone());
            } else {
                found.remove(&change.key);
            }
        }
        found.into_values().collect()
    }

    /// Returns the changes of a range at and after a revision.
    pub(super) fn since(&self, from: &[u8], to: Option<&[u8]>, revision: u64) -> Vec<Change> {
        let start = self.changes.partition_point(|c| c.revision < revision);
        let later = self.changes[start..].iter();
        later
            .filter(|change| contains(from, to, &change.key))
            .cloned()
            .collect()
    }
}

fn contains(from: &[u8], to: Option<&[u8]>, key: &[u8]) -> bool {
    match to {
        None => key == from,
        Some(to) => key >= from && key < to,
    }
}
