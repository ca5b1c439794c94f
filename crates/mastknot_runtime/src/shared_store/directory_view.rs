use std::collections::BTreeMap;
use std::time::Duration;

use mastknot_core::types::Moment;

use super::{Directory, SharedItem};

/// After the store's return, entries whose leases ran out meanwhile have this long to list themselves
/// again; one that is still missing then is gone.
const RELIST_GRACE: Duration = Duration::from_secs(2);

/// What a process believes of the listed entries, through outages of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct DirectoryView {
    entries: Directory,
    /// Entries that went missing around the store's return, and when they count as gone.
    missing: BTreeMap<String, Moment>,
    is_away: bool,
    returned: Option<Moment>,
}

impl DirectoryView {
    /// The entries that count as listed.
    pub(super) fn entries(&self) -> &Directory {
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
    pub(super) fn replace(&mut self, now: Moment, listed: Directory) {
        let known: Vec<String> = self.entries.keys().cloned().collect();
        for name in known {
            if !listed.contains_key(&name) {
                self.remove(now, &name);
            }
        }
        for (name, value) in listed {
            self.insert(name, value);
        }
    }

    /// Takes one change.
    pub(super) fn apply(&mut self, now: Moment, prefix: &str, item: SharedItem) {
        let Some(name) = item.key.strip_prefix(prefix) else {
            return;
        };
        match item.value.map(String::from_utf8) {
            Some(Ok(value)) => self.insert(name.to_owned(), value),
            Some(Err(_)) => {}
            None => self.remove(now, name),
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

    fn insert(&mut self, name: String, value: String) {
        self.missing.remove(&name);
        self.entries.insert(name, value);
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
