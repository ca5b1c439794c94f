//! What an entry has that others may lack, and the other way round: the entries, the configuration.

use std::sync::Arc;
use std::time::Duration;

use super::job_scheduler::JobScheduler;
use super::{SchedulerEffect, SessionId};
use crate::job::{ConfigDocument, DocumentPart, EntryOrder, EntryUpdate, KnownEntry};
use crate::types::{Moment, NodeName, stable_hash};

/// So many sides hold the configuration for entries that start, or are turned away, while the store is out
/// of reach: enough to outlast the loss of most sides, few enough to cost few bytes a version. An entry that still
/// runs gives it to others too.
const DOCUMENT_HOLDERS: usize = 8;
/// The store usually tells of a version within milliseconds: only after this others are asked for it.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for an entry that has no configuration yet and refuses all that comes.
const FIRST_STORE_TIMEOUT: Duration = Duration::from_millis(30);

impl JobScheduler {
    /// The version of the configuration in force, 0 without one.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |known| known.version)
    }

    /// What sides are told of what is known here.
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

    /// A newer configuration is in force here; heartbeats tell the sides that hold it.
    pub(super) fn set_document(&mut self, document: ConfigDocument) {
        if document.version > self.document_version() {
            self.document = Some(document);
            // Queues may have other priorities now; their next jobs tell.
            self.most_urgent_priorities.clear();
            self.notify_document_holders();
        }
    }

    /// The holders hear at once of a version, also on standby.
    fn notify_document_holders(&mut self) {
        for side in self.sides.values_mut() {
            side.needs_heartbeat |= side.holds_documents;
        }
        self.sides_due = Some(self.last_event_at);
    }

    /// Chooses the sides that hold the configuration: the same ones at all entries that see the same sides.
    ///
    /// Done once for all links that came or went since the last heartbeats: a choice looks at all sides, and
    /// 240 of them link within a moment as an entry starts.
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
            // A side on standby that holds no more would learn it only after it had fetched a version in vain.
            side.needs_heartbeat |= holds != side.holds_documents;
            side.holds_documents = holds;
        }
    }

    /// A link is gone, and with it what was asked there.
    pub(super) fn forget_link(&mut self, session: SessionId) {
        self.document_fetch.forget(session);
        self.document_server.forget(session);
    }

    pub(super) fn send_entries(&mut self, session: SessionId) {
        let entries = self.entries.clone();
        self.send(session, EntryOrder::Entries(entries));
    }

    /// Sends what sides have asked for, and asks for what is newer elsewhere.
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
        let whole = self.document_fetch.receive_part(session, part);
        let known = self.document_version();
        if let Some(document) = whole.filter(|whole| whole.version > known) {
            self.effects.push(SchedulerEffect::Document(document));
        }
    }

    /// When something of this is due.
    pub(super) fn relay_due(&self) -> Option<Moment> {
        let fetched = self.document_fetch.next_tick(self.store_timeout());
        let served = self.document_server.next_tick();
        fetched.into_iter().chain(served).min()
    }
}
