//! Configuration of the operators, and how entries read it from the store.

use std::sync::Arc;
use std::time::Duration;

use mastknot_core::job::ConfigDocument;
use mastknot_core::scheduler::SchedulerEvent;

use super::action::Action;
use super::job_system::JobSystem;

/// Time that an entry which has just started takes to read the store, in microseconds.
const READ_TIME: u64 = 5_000;

impl JobSystem {
    /// Schedules that the store receives a configuration of `length` bytes; the entries in `readers` read it
    /// at once.
    pub fn publish(&mut self, at: Duration, version: u64, length: usize, readers: &[usize]) {
        let text = (0..length).map(|place| (place as u64 * 31 + version) as u8);
        let document = ConfigDocument {
            version,
            bytes: text.collect::<Vec<u8>>().into(),
        };
        let at = at.as_micros() as u64;
        self.schedule.add(at, Action::Publish(document.clone()));
        for entry in readers.iter().copied() {
            let document = document.clone();
            self.schedule.add(at, Action::Published { entry, document });
        }
    }

    /// Sets whether entries that start can read the store.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Returns the configuration version in force at each running entry.
    pub fn versions_in_force(&self) -> Vec<u64> {
        let cores = self.entries.iter().filter_map(|node| node.core.as_ref());
        cores.map(|core| core.document_version()).collect()
    }

    /// Makes an entry that starts read the configuration in the store.
    pub(super) fn read_store(&mut self, entry: usize) {
        if let Some(document) = self.published.clone().filter(|_| self.is_store_reachable) {
            self.schedule_in(READ_TIME, Action::Published { entry, document });
        }
    }

    /// Puts a newer configuration into force at an entry, whether it came from the store or a peer. Panics if
    /// its bytes are damaged.
    pub(super) fn take_document(&mut self, entry: usize, document: ConfigDocument) {
        let core = self.entries[entry].core.as_ref();
        let known = core.map(|core| core.document_version());
        if known.is_some_and(|known| known < document.version) {
            let expected = self.published.as_ref();
            let is_whole = expected.is_none_or(|held| {
                held.version != document.version || Arc::clone(&held.bytes) == document.bytes
            });
            assert!(is_whole, "version {} was damaged", document.version);
            self.step_entry(entry, SchedulerEvent::Document(document));
        }
    }
}
