use std::collections::BTreeMap;
use std::time::Duration;

use mastknot_core::types::Moment;

use super::Directory;

/// After the store's return, entries whose leases ran out meanwhile have this long to list themselves
/// again; one that is still missing then is gone.
const RELIST_GRACE: Duration = Duration::from_secs(2);

/// What a key of the directory holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Listed<V> {
    /// A value that can be read.
    Value(V),
    /// Something that another writer has put there: what is known of the entry holds on.
    Unreadable,
    /// The key is gone.
    Gone,
}

/// What a process believes of the listed entries, through outages of the store.
#[derive(Clone, Debug)]
pub(super) struct DirectoryView<V> {
    entries: Directory<V>,
    /// Entries that went missing around the store's return, and when they count as gone.
    missing: BTreeMap<String, Moment>,
    is_away: bool,
    returned: Option<Moment>,
}

impl<V> Default for DirectoryView<V> {
    fn default() -> Self {
        Self {
            entries: Directory::new(),
            missing: BTreeMap::new(),
            is_away: false,
            returned: None,
        }
    }
}

impl<V> DirectoryView<V> {
    /// The entries that count as listed.
    pub(super) fn entries(&self) -> &Directory<V> {
        &self.entries
    }

    /// A call to the store had no result.
    pub(super) fn note_failure(&mut self) {
        self.is_away = true;
    }

    /// A call to the store had a result.
    pub(super) fn note_success(&mut self, now: Moment) {
        if std::mem::take(&mut self.is_away) {
            self.returned = Some(now);
        }
    }

    /// Takes the whole list as the store has it.
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

    /// Takes one change.
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

    /// When the next missing entry counts as gone.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        self.missing.values().min().copied()
    }

    /// Forgets the missing entries whose time has passed.
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

    fn remove(&mut self, now: Moment, name: &str) {
        let grace_ends = self.returned.map(|returned| returned + RELIST_GRACE);
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
