use std::time::Duration;

use indexmap::IndexMap;

use super::SessionId;
use crate::types::Moment;

/// A list of entries that does not come within this is asked for again, from another entry if there is one.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Which list of entries the linked entries have, told by digests, and whom to ask for it.
///
/// The list that most of them have is the one to hold: an entry that is cut off from the store for long
/// keeps an old one, and may still be linked here.
#[derive(Clone, Debug, Default)]
pub(super) struct DirectoryNews {
    held: u64,
    announced: IndexMap<SessionId, u64>,
    asked: Option<(SessionId, Moment)>,
}

impl DirectoryNews {
    /// This list is held from now on.
    pub(super) fn hold(&mut self, digest: u64) {
        self.held = digest;
        self.asked = None;
    }

    /// An entry has told which list it has, 0 for none.
    pub(super) fn announce(&mut self, session: SessionId, digest: u64) {
        self.announced.insert(session, digest);
    }

    /// A link is gone.
    pub(super) fn forget(&mut self, session: SessionId) {
        self.announced.shift_remove(&session);
        if self.asked.is_some_and(|(asked, _)| asked == session) {
            self.asked = None;
        }
    }

    /// The entry to ask now, if another list is to be held.
    pub(super) fn poll(&mut self, now: Moment) -> Option<SessionId> {
        if self.asked.is_some_and(|(_, at)| now < at + ANSWER_LIMIT) {
            return None;
        }
        if let Some((silent, _)) = self.asked.take()
            && let Some(digest) = self.announced.shift_remove(&silent)
        {
            // To the end of the line: another entry is asked before it.
            self.announced.insert(silent, digest);
        }
        let wanted = self.most_common().filter(|wanted| *wanted != self.held)?;
        let mut having = self.announced.iter();
        let (session, _) = having.find(|(_, digest)| **digest == wanted)?;
        self.asked = Some((*session, now));
        self.asked.map(|(session, _)| session)
    }

    /// When an answer is overdue.
    pub(super) fn next_tick(&self) -> Option<Moment> {
        self.asked.map(|(_, at)| at + ANSWER_LIMIT)
    }

    /// The list that most entries have; the one held here if as many have that.
    fn most_common(&self) -> Option<u64> {
        let known = self.announced.values().filter(|digest| **digest != 0);
        let mut counts: IndexMap<u64, usize> = IndexMap::new();
        known.for_each(|digest| *counts.entry(*digest).or_default() += 1);
        let most = counts
            .iter()
            .max_by_key(|(digest, count)| (**count, **digest == self.held));
        most.map(|(digest, _)| *digest)
    }
}
