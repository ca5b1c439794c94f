//! Exchange of the known entries and of the configuration between this entry and other processes.

use std::sync::Arc;
use std::time::Duration;

use super::job_scheduler::JobScheduler;
use super::{SchedulerEffect, SessionId};
use crate::job::{ConfigDocument, DocumentPart, EntryOrder, EntryUpdate, KnownEntry};
use crate::types::{Moment, NodeName, stable_hash};

/// Number of sides that hold the configuration for entries that start, or are turned away, while the store is
/// unreachable. It is high enough to outlast the loss of most sides, and low enough to cost few bytes for each version.
/// A running entry passes the configuration on to others as well.
const DOCUMENT_HOLDERS: usize = 8;
/// Time after which other processes are asked for a new version of the configuration. The store usually announces a
/// version within milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an entry without any configuration asks other processes for it. It is shorter because such an entry
/// refuses all jobs.
const FIRST_STORE_TIMEOUT: Duration = Duration::from_millis(30);

impl JobScheduler {
    /// Returns the version of the configuration in force; 0 without one.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |known| known.version)
    }

    /// Returns the state of this entry that sides are kept up to date on.
    pub(super) fn entry_update(&self) -> EntryUpdate {
        EntryUpdate {
            config_version: self.document_version(),
            directory: self.entries_digest,
            drained: Arc::clone(&self.drained_halls),
            grants_capacity: self.uses_capacity_grants(),
            shares_capacity: self.shares_capacity(),
            shares: Arc::clone(&self.weights),
        }
    }

    pub(super) fn set_entries(&mut self, entries: Vec<KnownEntry>) {
        self.entries_digest = crate::job::directory_digest(&entries);
        self.entries = entries;
    }

    /// Puts a newer configuration in force. Heartbeats announce it to the sides that hold the configuration.
    pub(super) fn set_document(&mut self, document: ConfigDocument) {
        if document.version > self.document_version() {
            self.document = Some(document);
            // Queues may have other priorities now. They are recorded with the next jobs.
            self.most_urgent_priorities.clear();
            self.notify_document_holders();
        }
    }

    /// Announces a new configuration version at once, also on standby links, to the sides that keep the configuration
    /// for others.
    fn notify_document_holders(&mut self) {
        for side in self.sides.values_mut() {
            side.needs_heartbeat |= side.holds_documents;
        }
        self.sides_due = Some(self.last_event_at);
    }

    /// Chooses the sides that hold the configuration. All entries that see the same sides choose the same ones.
    ///
    /// The choice is made once for all links that came or went since the last heartbeats: it visits all sides, and 240
    /// of them link within a moment when an entry starts.
    pub(super) fn choose_document_holders(&mut self) {
        if !std::mem::take(&mut self.is_document_holder_choice_stale) {
            return;
        }
        let linked = self.sides.iter().filter(|(_, side)| side.session.is_some());
        let ranked = linked.map(|(name, _)| (stable_hash(&[name]), name.clone()));
        let mut ranked: Vec<(u32, NodeName)> = ranked.collect();
        ranked.sort_unstable();
        ranked.truncate(DOCUMENT_HOLDERS);
        for (name, side) in &mut self.sides {
            let holds = ranked.iter().any(|(_, holder)| holder == name);
            // Without this heartbeat, a side on standby that no longer holds the configuration would learn of it only
            // after it has fetched a version without need.
            side.needs_heartbeat |= holds != side.holds_documents;
            side.holds_documents = holds;
        }
    }

    /// Discards the requests on a lost link.
    pub(super) fn forget_link(&mut self, session: SessionId) {
        self.document_fetch.forget(session);
        self.document_server.forget(session);
    }

    pub(super) fn send_entries(&mut self, session: SessionId) {
        let entries = self.entries.clone();
        self.send(session, EntryOrder::Entries(entries));
    }

    /// Sends the parts of documents that sides have requested, and requests newer documents from other processes.
    pub(super) fn relay_documents(&mut self, now: Moment) {
        let link = self.settings.link;
        let part = self.document_server.poll(now, self.document.as_ref(), link);
        if let Some((session, part)) = part {
            self.send(session, EntryOrder::DocumentPart(part));
        }
        let known = self.document_version();
        if let Some((session, request)) =
            self.document_fetch
                .poll(now, known, self.store_timeout(), link)
        {
            self.send(session, EntryOrder::FetchDocument(request));
        }
    }

    fn store_timeout(&self) -> Duration {
        match self.document {
            Some(_) => STORE_TIMEOUT,
            None => FIRST_STORE_TIMEOUT,
        }
    }

    pub(super) fn accept_document_part(&mut self, session: SessionId, part: DocumentPart) {
        let complete = self.document_fetch.receive_part(session, part);
        let known = self.document_version();
        if let Some(document) = complete.filter(|complete| complete.version > known) {
            self.effects.push(SchedulerEffect::Document(document));
        }
    }

    /// Returns the time at which a document has to be requested or sent next.
    pub(super) fn relay_due(&self) -> Option<Moment> {
        let fetched = self.document_fetch.next_tick(self.store_timeout());
        let served = self.document_server.next_tick();
        fetched.into_iter().chain(served).min()
    }
}
