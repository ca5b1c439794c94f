use std::collections::BTreeMap;

use mastknot_core::job::DrainedHalls;
use mastknot_core::types::Hall;

use super::{SharedItem, SharedList};

/// The drained halls according to the keys in the store. A hall is drained as long as its key exists, whatever the
/// value.
///
/// Each state belongs to one revision of the store, and revisions only rise. A list or a change that is older than
/// the known state is ignored.
#[derive(Clone, Debug)]
pub(super) struct DrainedView {
    /// Prefix of the keys of drained halls. The name of the hall follows.
    prefix: String,
    /// Drained halls with the revisions of their keys.
    halls: BTreeMap<Hall, u64>,
    revision: u64,
}

impl DrainedView {
    /// Creates a view for a store that has not been read yet.
    pub(super) fn new(prefix: String) -> Self {
        Self {
            prefix,
            halls: BTreeMap::new(),
            revision: 0,
        }
    }

    /// Returns whether the store has been read.
    pub(super) fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Returns the drained halls that are known now.
    pub(super) fn current(&self) -> DrainedHalls {
        DrainedHalls {
            revision: self.revision,
            halls: self.halls.keys().cloned().collect(),
        }
    }

    /// Applies the complete list of keys; returns whether the drained halls have changed or were unknown before.
    pub(super) fn replace(&mut self, list: SharedList) -> bool {
        // A store that was never written has revision 0, which here stands for an unknown state.
        let revision = list.revision.max(1);
        if revision < self.revision {
            return false;
        }
        let is_first = !self.is_known();
        let present = list.items.into_iter().filter(|item| !item.is_gone());
        let halls = present.filter_map(|item| Some((self.hall_of(&item.key)?, item.revision)));
        let halls: BTreeMap<Hall, u64> = halls.collect();
        if !is_first && halls == self.halls {
            return false;
        }
        self.halls = halls;
        self.revision = revision;
        true
    }

    /// Applies one change; returns whether it is newer than the known state.
    pub(super) fn apply(&mut self, item: &SharedItem) -> bool {
        let Some(hall) = self.hall_of(&item.key) else {
            return false;
        };
        if item.revision <= self.revision {
            return false;
        }
        self.revision = item.revision;
        match item.is_gone() {
            true => self.halls.remove(&hall),
            false => self.halls.insert(hall, item.revision),
        };
        true
    }

    /// Returns the keys of the given halls and of all drained halls, with their known revisions, which are 0 for halls
    /// that are not drained.
    pub(super) fn keys_of(&self, halls: &[Hall]) -> BTreeMap<String, u64> {
        let named = halls.iter().map(|hall| (hall, 0));
        let drained = self.halls.iter().map(|(hall, at)| (hall, *at));
        let all = named.chain(drained);
        all.map(|(hall, at)| (format!("{}{hall}", self.prefix), at))
            .collect()
    }

    fn hall_of(&self, key: &str) -> Option<Hall> {
        let name = key.strip_prefix(&self.prefix)?;
        (!name.is_empty()).then(|| Hall::from(name))
    }
}
