use std::time::Duration;

use indexmap::IndexMap;

use super::SessionId;
use crate::types::Moment;

/// Time after which an unanswered request for the list of entries is repeated, to another entry if
/// there is one.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Digests of the lists of entries that the linked entries hold, and the entry from which a list is
/// requested.
///
/// The side adopts the list that most entries hold. An entry that has been partitioned from the
/// store for long keeps an old list and may still be linked here.
#[derive(Clone, Debug, Default)]
pub(super) struct DirectoryDigests {
    held: u64,
    announced: IndexMap<SessionId, AnnouncedList>,
    asked: Option<(SessionId, Moment)>,
}

/// List of entries that one entry announced.
#[derive(Clone, Copy, Debug)]
struct AnnouncedList {
    digest: u64,
    /// Whether the entry reports a change of its list within a heartbeat. On standby a report takes
    /// seconds.
    is_current: bool,
}

impl DirectoryDigests {
    /// Sets the digest of the list that the side holds from now on.
    pub(super) fn hold(&mut self, digest: u64) {
        self.held = digest;
        self.asked = None;
    }

    /// Records the digest of the list that an entry holds; 0 means that the entry has no list.
    pub(super) fn announce(&mut self, session: SessionId, digest: u64) {
        let is_current = true;
        self.announced
            .insert(session, AnnouncedList { digest, is_current });
    }

    /// Records that a link is on standby from now on.
    pub(super) fn set_standby(&mut self, session: SessionId) {
        if let Some(announced) = self.announced.get_mut(&session) {
            announced.is_current = false;
        }
    }

    /// Removes a closed link.
    pub(super) fn forget(&mut self, session: SessionId) {
        self.announced.shift_remove(&session);
        if self.asked.is_some_and(|(asked, _)| asked == session) {
            self.asked = None;
        }
    }

    /// Returns the entry from which the list has to be requested now, if the side should hold
    /// another list.
    pub(super) fn poll(&mut self, now: Moment) -> Option<SessionId> {
        if self.asked.is_some_and(|(_, at)| now < at + ANSWER_LIMIT) {
            return None;
        }
        if let Some((silent, _)) = self.asked.take()
            && let Some(announced) = self.announced.shift_remove(&silent)
        {
            // The silent entry moves to the end of the line, so that another entry is asked first.
            self.announced.insert(silent, announced);
        }
        let wanted = self.most_common().filter(|wanted| *wanted != self.held)?;
        let mut having = self.announced.iter();
        let (session, _) = having.find(|(_, announced)| announced.digest == wanted)?;
        self.asked = Some((*session, now));
        self.asked.map(|(session, _)| session)
    }

    /// Returns the time at which the answer to the current request is overdue.
    pub(super) fn next_tick(&self) -> Option<Moment> {
        self.asked.map(|(_, at)| at + ANSWER_LIMIT)
    }

    /// Returns the digest of the list that most entries with current reports hold. A tie is decided
    /// for the list that the side holds.
    fn most_common(&self) -> Option<u64> {
        let known = self.announced.values().filter(|known| known.digest != 0);
        let has_current = known.clone().any(|known| known.is_current);
        let counted = known.filter(|known| known.is_current || !has_current);
        let mut counts: IndexMap<u64, usize> = IndexMap::new();
        counted.for_each(|known| *counts.entry(known.digest).or_default() += 1);
        let most_common = counts
            .iter()
            .max_by_key(|(digest, count)| (**count, **digest == self.held));
        most_common.map(|(digest, _)| *digest)
    }
}
