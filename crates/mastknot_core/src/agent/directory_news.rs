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
    announced: IndexMap<SessionId, Announced>,
    asked: Option<(SessionId, Moment)>,
}

/// What an entry has told of its list.
#[derive(Clone, Copy, Debug)]
struct Announced {
    digest: u64,
    /// Whether a change of the list is told within a heartbeat; on standby it takes seconds.
    is_current: bool,
}

impl DirectoryNews {
    /// This list is held from now on.
    pub(super) fn hold(&mut self, digest: u64) {
        self.held = digest;
        self.asked = None;
    }

    /// An entry has told which list it has, 0 for none.
    pub(super) fn announce(&mut self, session: SessionId, digest: u64) {
        let is_current = true;
        self.announced
            .insert(session, Announced { digest, is_current });
    }

    /// The link is on standby from now on.
    pub(super) fn stand_by(&mut self, session: SessionId) {
        if let Some(announced) = self.announced.get_mut(&session) {
            announced.is_current = false;
        }
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
            && let Some(announced) = self.announced.shift_remove(&silent)
        {
            // To the end of the line: another entry is asked before it.
            self.announced.insert(silent, announced);
        }
        let wanted = self.most_common().filter(|wanted| *wanted != self.held)?;
        let mut having = self.announced.iter();
        let (session, _) = having.find(|(_, announced)| announced.digest == wanted)?;
        self.asked = Some((*session, now));
        self.asked.map(|(session, _)| session)
    }

    /// When an answer is overdue.
    pub(super) fn next_tick(&self) -> Option<Moment> {
        self.asked.map(|(_, at)| at + ANSWER_LIMIT)
    }

    /// The list that most entries have whose word is current; the one held here if as many have that.
    fn most_common(&self) -> Option<u64> {
        let known = self.announced.values().filter(|known| known.digest != 0);
        let has_current = known.clone().any(|known| known.is_current);
        let counted = known.filter(|known| known.is_current || !has_current);
        let mut counts: IndexMap<u64, usize> = IndexMap::new();
        counted.for_each(|known| *counts.entry(known.digest).or_default() += 1);
        let most = counts
            .iter()
            .max_by_key(|(digest, count)| (**count, **digest == self.held));
        most.map(|(digest, _)| *digest)
    }
}
