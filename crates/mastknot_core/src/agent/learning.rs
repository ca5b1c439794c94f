//! Data that a side learns from entries and holds for others: the list of entries and the
//! configuration.

use std::sync::Arc;
use std::time::Duration;

use super::target_agent::TargetAgent;
use super::{AgentDecision, AgentEffect, SessionId};
use crate::job::{
    ConfigDocument, DocumentPart, DrainedHalls, EntryUpdate, KnownEntry, SideReport,
    directory_digest,
};
use crate::types::Moment;

/// Time after which a missing version of the configuration is fetched. Several entries announce a
/// version within one heartbeat, and while many links are opened at once each entry briefly chooses
/// other holders. The side fetches only what it is still meant to hold after this time.
const FETCH_DELAY: Duration = Duration::from_millis(200);

impl TargetAgent {
    /// Returns the version of the configuration that this side holds, or 0 if it holds none.
    pub(super) fn config_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |held| held.version)
    }

    /// Handles an update in which an entry announces what it holds.
    pub(super) fn apply_update(&mut self, session: SessionId, update: EntryUpdate) {
        self.fetch.record_offer(session, update.config_version);
        self.directory.announce(session, update.directory);
        let key = self.sessions.get(&session);
        if let Some(owner) = key.and_then(|key| self.owners.get_mut(key)) {
            owner.grants_capacity = update.grants_capacity;
        }
        self.learn_shares(session, &update);
        self.learn_drained_halls(session, update.drained);
    }

    /// Adopts the drained halls that an entry reports, unless the side knows a newer revision.
    /// Entries that are not known to have this revision receive it with their next report.
    fn learn_drained_halls(&mut self, session: SessionId, drained: Arc<DrainedHalls>) {
        let key = self.sessions.get(&session);
        if let Some(owner) = key.and_then(|key| self.owners.get_mut(key)) {
            owner.drained_revision = owner.drained_revision.max(drained.revision);
        }
        if !drained.is_newer_than(&self.drained) {
            return;
        }
        let was_drained = self.is_hall_drained();
        self.drained = drained;
        if self.is_hall_drained() != was_drained {
            self.record_decision(AgentDecision::HallDrained {
                is_drained: self.is_hall_drained(),
                revision: self.drained.revision,
                runs: self.runs.len(),
            });
        }
    }

    /// Returns whether operators have drained the hall in which this side runs.
    pub fn is_hall_drained(&self) -> bool {
        self.drained.contains(&self.settings.hall)
    }

    /// Drops the requests that were made on a closed link.
    pub(super) fn forget_link(&mut self, session: SessionId) {
        self.fetch.forget(session);
        self.documents.forget(session);
        self.directory.forget(session);
    }

    /// Requests the list of entries from one entry at a time, if that entry holds another list than
    /// this side.
    pub(super) fn fetch_directory(&mut self, now: Moment) {
        if let Some(session) = self.directory.poll(now) {
            self.send(session, SideReport::FetchEntries);
        }
    }

    pub(super) fn learn_entries(&mut self, entries: Vec<KnownEntry>) {
        if entries.is_empty() {
            return;
        }
        self.directory.hold(directory_digest(&entries));
        if entries == self.entries {
            return;
        }
        self.entries = entries.clone();
        self.effects.push(AgentEffect::DialEntries(entries));
    }

    /// Sends the next part of the configuration that an entry has requested, and requests newer
    /// parts from other entries.
    pub(super) fn relay_documents(&mut self, now: Moment) {
        let link = self.settings.link;
        let part = self.documents.poll(now, self.document.as_ref(), link);
        if let Some((session, part)) = part {
            self.send(session, SideReport::DocumentPart(part));
        }
        let known = self.config_version();
        if let Some((session, request)) = self.fetch.poll(now, known, FETCH_DELAY, link) {
            self.send(session, SideReport::FetchDocument(request));
        }
    }

    pub(super) fn take_part(&mut self, session: SessionId, part: DocumentPart) {
        let whole = self.fetch.receive_part(session, part);
        let known = self.config_version();
        if let Some(document) = whole.filter(|whole| whole.version > known) {
            self.document = Some(document);
        }
    }

    /// Returns the next time at which a request for the list of entries or a transfer of the
    /// configuration is due.
    pub(super) fn relay_due(&self) -> Option<Moment> {
        let directory_due = self.directory.next_tick();
        let fetch_due = self.fetch.next_tick(FETCH_DELAY);
        let transfer_due = self.documents.next_tick();
        directory_due
            .into_iter()
            .chain(fetch_due)
            .chain(transfer_due)
            .min()
    }

    /// Returns the newest configuration that this side holds.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }
}
