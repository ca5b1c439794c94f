use std::collections::BTreeMap;

use log::warn;
use mastknot_core::config::HallShare;
use mastknot_core::job::ShareWeights;
use mastknot_core::types::Hall;

use super::{KnownRevision, SharedItem, SharedList};

/// State of a hall's key when it was last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownShare {
    revision: u64,
    /// Weight of the hall; `None` if no value of the key could be read so far.
    weight: Option<u32>,
}

/// The weights of halls according to the keys in the store.
///
/// As with the drained halls, each state belongs to one revision of the store. If a value can't be read, the previous
/// weight of the hall stays in force.
#[derive(Clone, Debug)]
pub(super) struct SharesView {
    /// Prefix of the keys with the shares of halls. The name of the hall follows.
    prefix: String,
    halls: BTreeMap<Hall, KnownShare>,
    revision: u64,
    refused: u64,
}

impl SharesView {
    /// Creates a view without any weights.
    pub(super) fn new(prefix: String) -> Self {
        Self {
            prefix,
            halls: BTreeMap::new(),
            revision: 0,
            refused: 0,
        }
    }

    /// Returns the weights that are known now.
    pub(super) fn current(&self) -> ShareWeights {
        let halls = self.halls.iter();
        let halls = halls.filter_map(|(hall, known)| Some((hall.clone(), known.weight?)));
        ShareWeights {
            revision: self.revision,
            halls: halls.collect(),
        }
    }

    /// Returns the number of values that could not be read since the last call.
    pub(super) fn take_refused(&mut self) -> u64 {
        std::mem::take(&mut self.refused)
    }

    /// Applies the complete list of keys; returns whether something has changed.
    pub(super) fn replace(&mut self, list: SharedList) -> bool {
        if list.revision < self.revision {
            return false;
        }
        let before = std::mem::take(&mut self.halls);
        for item in list.items.iter().filter(|item| !item.is_gone()) {
            let Some(hall) = self.hall_of(&item.key) else {
                continue;
            };
            let known = before.get(&hall).copied();
            let known = known.filter(|known| known.revision == item.revision);
            let share = known.unwrap_or_else(|| self.read(item, before.get(&hall)));
            self.halls.insert(hall, share);
        }
        let is_changed = self.halls != before;
        if is_changed {
            self.revision = list.revision;
        }
        is_changed
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
            false => {
                let known = self.halls.get(&hall).copied();
                let share = self.read(item, known.as_ref());
                self.halls.insert(hall, share)
            }
        };
        true
    }

    /// Returns the keys of the given halls and of all halls with known keys, with their known revisions, which are 0
    /// for halls without a key.
    pub(super) fn keys_of(&self, halls: &[Hall]) -> Vec<KnownRevision> {
        let named = halls.iter().map(|hall| (hall, 0));
        let known = self
            .halls
            .iter()
            .map(|(hall, known)| (hall, known.revision));
        let all: BTreeMap<&Hall, u64> = named.chain(known).collect();
        let keys = all.into_iter().map(|(hall, revision)| KnownRevision {
            key: format!("{}{hall}", self.prefix),
            revision,
        });
        keys.collect()
    }

    /// Returns whether a key is that of a hall's share.
    pub(super) fn has_key(&self, key: &str) -> bool {
        self.hall_of(key).is_some()
    }

    fn read(&mut self, item: &SharedItem, before: Option<&KnownShare>) -> KnownShare {
        let value = item.value.as_deref().unwrap_or_default();
        let weight = match HallShare::read(value) {
            Ok(share) => Some(share.weight),
            Err(error) => {
                self.refused += 1;
                warn!(key = item.key.as_str(), error:%; "a hall's share can't be read, its previous weight stays in force");
                before.and_then(|before| before.weight)
            }
        };
        let revision = item.revision;
        KnownShare { revision, weight }
    }

    fn hall_of(&self, key: &str) -> Option<Hall> {
        let name = key.strip_prefix(&self.prefix)?;
        (!name.is_empty()).then(|| Hall::from(name))
    }
}
