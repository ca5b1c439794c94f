use std::collections::BTreeMap;

use mastknot_core::job::DrainedHalls;
use mastknot_core::types::Hall;

use super::{SharedItem, SharedList};

/// The drained halls as the store's keys have them: a hall is drained as long as its key is there, whatever the value.
///
/// Each state is that of one revision of the store, and revisions only rise: a list or a change that is older than
/// what is known changes nothing.
#[derive(Clone, Debug)]
pub(super) struct DrainedView {
    /// All keys begin so; the hall's name follows.
    prefix: String,
    /// The drained halls with the revisions of their keys.
    halls: BTreeMap<Hall, u64>,
    revision: u64,
}

impl DrainedView {
    /// Nothing is known yet.
    pub(super) fn new(prefix: String) -> Self {
        Self {
            prefix,
            halls: BTreeMap::new(),
            revision: 0,
        }
    }

    /// Whether the store has been read.
    pub(super) fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// What is known now.
    pub(super) fn current(&self) -> DrainedHalls {
        DrainedHalls {
            revision: self.revision,
            halls: self.halls.keys().cloned().collect(),
        }
    }

    /// Takes the whole list of keys; returns whether something has changed.
    pub(super) fn replace(&mut self, list: SharedList) -> bool {
        // A store that was never written has revision 0 and is known all the same.
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

    /// Takes one change; returns whether it is news.
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

    /// The keys of these halls and of all that are drained, with the revisions that are known, 0 for none.
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
