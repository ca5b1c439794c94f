use std::time::Duration;

use super::ProfileUpdate;
use crate::types::Moment;

/// No process writes within this time of a write that it knows of.
const LEAST_BETWEEN: Duration = Duration::from_secs(10);
/// News of paces stand for this long before they are written: beliefs of the first runs move on, and a suspect that is found
/// meanwhile must not wait for them.
const PACES_STAND: Duration = Duration::from_secs(15);
/// Paces are not written within this time of a write: a minute's runs find them again.
const PACES_BETWEEN: Duration = Duration::from_secs(60);
/// The next entry writes a suspect that those before it have not written for so long.
const SUSPECTS_TAKEN_OVER: Duration = Duration::from_secs(30);
/// The next entry writes paces that those before it have not written for so long. Entries that have seen other runs differ
/// a little for good, which is worth a write now and then.
const PACES_TAKEN_OVER: Duration = Duration::from_secs(5 * 60);

/// When a process writes: the first entry by rank when it has news, others when the document should have changed and has not.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProfileWriteSchedule {
    /// When the document changed last, as far as this process knows.
    changed: Option<Moment>,
    /// Since when there has been news of any kind.
    news_since: Option<Moment>,
    /// Since when a suspect has been to be written.
    suspect_since: Option<Moment>,
}

impl ProfileWriteSchedule {
    /// The document has changed.
    pub fn record_change(&mut self, now: Moment) {
        *self = Self {
            changed: Some(now),
            ..Self::default()
        };
    }

    /// Takes in what is new and returns whether to write it now; `age` is that of the document, if it is known.
    pub fn is_due(
        &mut self,
        now: Moment,
        news: Option<ProfileUpdate>,
        place: usize,
        age: Option<Duration>,
    ) -> bool {
        let is_suspect = news == Some(ProfileUpdate::Suspect);
        self.news_since = news.and(self.news_since.or(Some(now)));
        self.suspect_since = match is_suspect {
            true => self.suspect_since.or(Some(now)),
            false => None,
        };
        let (since, stands, between, taken_over) = match is_suspect {
            true => {
                let since = self.suspect_since;
                (since, Duration::ZERO, LEAST_BETWEEN, SUSPECTS_TAKEN_OVER)
            }
            false => (
                self.news_since,
                PACES_STAND,
                PACES_BETWEEN,
                PACES_TAKEN_OVER,
            ),
        };
        let later = taken_over.saturating_mul(place as u32);
        let has_stood = since.is_some_and(|since| now.since(since) >= stands + later);
        let quiet = between.max(later);
        let is_quiet = self.changed.is_none_or(|at| now.since(at) >= quiet);
        has_stood && is_quiet && age.is_none_or(|age| age >= LEAST_BETWEEN)
    }
}
