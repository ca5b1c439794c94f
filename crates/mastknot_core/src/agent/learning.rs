//! What a side learns from entries and holds for others: the entries, the configuration.

use std::sync::Arc;
use std::time::Duration;

use super::target_agent::TargetAgent;
use super::{AgentDecision, AgentEffect, SessionId};
use crate::job::{
    ConfigDocument, DocumentPart, DrainedHalls, EntryUpdate, KnownEntry, SideReport,
    directory_digest,
};
use crate::types::Moment;

/// A side fetches only what it is still to hold after this: several entries tell of a version within a heartbeat, and
/// while many links are made anew each entry chooses other holders for a moment.
const PATIENCE: Duration = Duration::from_millis(200);

impl TargetAgent {
    /// The version of the configuration that is held here, 0 for none.
    pub(super) fn config_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |held| held.version)
    }

    /// An entry has told what it has.
    pub(super) fn take_news(&mut self, session: SessionId, news: EntryUpdate) {
        self.fetch.record_offer(session, news.config_version);
        self.directory.announce(session, news.directory);
        let key = self.sessions.get(&session);
        if let Some(owner) = key.and_then(|key| self.owners.get_mut(key)) {
            owner.grants_room = news.grants_capacity;
        }
        self.learn_shares(session, &news);
        self.learn_drained_halls(session, news.drained);
    }

    /// An entry has told which halls are drained; what is older changes nothing. Other entries are told unless they
    /// are known to have heard it.
    fn learn_drained_halls(&mut self, session: SessionId, drained: Arc<DrainedHalls>) {
        let key = self.sessions.get(&session);
        if let Some(owner) = key.and_then(|key| self.owners.get_mut(key)) {
            owner.told_drained = owner.told_drained.max(drained.revision);
        }
        if !drained.is_newer_than(&self.drained) {
            return;
        }
        let was_drained = self.is_hall_drained();
        self.drained = drained;
        if self.is_hall_drained() != was_drained {
            self.decided(AgentDecision::HallDrained {
                is_drained: self.is_hall_drained(),
                revision: self.drained.revision,
                runs: self.runs.len(),
            });
        }
    }

    /// Whether operators have drained the hall that this side stands in.
    pub fn is_hall_drained(&self) -> bool {
        self.drained.contains(&self.settings.hall)
    }

    /// A link is gone, and with it what was asked there.
    pub(super) fn forget_link(&mut self, session: SessionId) {
        self.fetch.forget(session);
        self.documents.forget(session);
        self.directory.forget(session);
    }

    /// Asks one entry at a time for the entries that it knows, if they are others than those known here.
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

    /// Sends what others have asked for, and asks for what is newer elsewhere.
    pub(super) fn relay_documents(&mut self, now: Moment) {
        let link = self.settings.link;
        let part = self.documents.poll(now, self.document.as_ref(), link);
        if let Some((session, part)) = part {
            self.send(session, SideReport::DocumentPart(part));
        }
        let known = self.config_version();
        if let Some((session, request)) = self.fetch.poll(now, known, PATIENCE, link) {
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

    /// When something of this is due.
    pub(super) fn relay_due(&self) -> Option<Moment> {
        let asked = self.directory.next_tick();
        let fetched = self.fetch.next_tick(PATIENCE);
        let served = self.documents.next_tick();
        asked.into_iter().chain(fetched).chain(served).min()
    }

    /// The newest configuration that is held.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }
}
