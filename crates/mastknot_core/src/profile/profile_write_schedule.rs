use std::time::Duration;

use super::ProfileUpdate;
use crate::types::Moment;

/// Minimum time between a known write of any process and the next write.
const MIN_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a change of slowdowns or run times must exist before it is written. Values of the
/// first runs still change, and a suspect that is found in the meantime must not wait for a recent
/// write of slowdowns.
const SLOWDOWN_SETTLE_TIME: Duration = Duration::from_secs(15);
/// Minimum time between a write and the next write of slowdowns or run times; the runs of a minute
/// would restore them.
const SLOWDOWN_INTERVAL: Duration = Duration::from_secs(60);
/// Time after which the next entry writes a suspect that the entries before it have not written.
const SUSPECT_TAKEOVER_TIME: Duration = Duration::from_secs(30);
/// Time after which the next entry writes slowdowns or run times that the entries before it have
/// not written. Entries that have seen different runs always differ a little, which justifies an
/// occasional write.
const SLOWDOWN_TAKEOVER_TIME: Duration = Duration::from_secs(5 * 60);

/// Decides when a process writes: the first entry by rank when it has a change, the others when the
/// document should have changed and has not.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProfileWriteSchedule {
    /// Time of the last change of the document, as far as this process knows.
    changed: Option<Moment>,
    /// Time since which there has been a change of any kind to write.
    update_since: Option<Moment>,
    /// Time since which there has been a suspect to write.
    suspect_since: Option<Moment>,
}

impl ProfileWriteSchedule {
    /// Records that the document has changed.
    pub fn record_change(&mut self, now: Moment) {
        *self = Self {
            changed: Some(now),
            ..Self::default()
        };
    }

    /// Records the current change and returns whether to write it now. `age` is the age of the
    /// document, if known.
    pub fn is_due(
        &mut self,
        now: Moment,
        update: Option<ProfileUpdate>,
        writer_rank: usize,
        age: Option<Duration>,
    ) -> bool {
        let is_suspect = update == Some(ProfileUpdate::Suspect);
        self.update_since = update.and(self.update_since.or(Some(now)));
        self.suspect_since = match is_suspect {
            true => self.suspect_since.or(Some(now)),
            false => None,
        };
        let (since, settle_time, interval, takeover_time) = match is_suspect {
            true => {
                let since = self.suspect_since;
                (since, Duration::ZERO, MIN_INTERVAL, SUSPECT_TAKEOVER_TIME)
            }
            false => (
                self.update_since,
                SLOWDOWN_SETTLE_TIME,
                SLOWDOWN_INTERVAL,
                SLOWDOWN_TAKEOVER_TIME,
            ),
        };
        let takeover_delay = takeover_time.saturating_mul(writer_rank as u32);
        let has_settled =
            since.is_some_and(|since| now.since(since) >= settle_time + takeover_delay);
        let quiet = interval.max(takeover_delay);
        let is_quiet = self.changed.is_none_or(|at| now.since(at) >= quiet);
        has_settled && is_quiet && age.is_none_or(|age| age >= MIN_INTERVAL)
    }
}
