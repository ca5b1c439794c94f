use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::job::JobId;
use crate::types::Moment;

/// Callers count in whole seconds, so nobody comes back sooner.
pub const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Callers that wait for longer than this have gone elsewhere, and no forecast reaches so far.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// A caller that counts in whole seconds comes back up to half of one early or late, and this much more for its way.
const KEPT_WITHIN: Duration = Duration::from_millis(600);
/// The most callers that are remembered; beyond it the first to return are forgotten.
const MOST_KEPT: usize = 4_096;

/// When refused callers were told to come back.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// The next time that is not given to anybody yet.
    next: Moment,
    told: HashMap<JobId, Moment>,
    by_time: BTreeSet<(Moment, JobId)>,
}

impl RetrySchedule {
    /// When the caller of a refused job is to come back: once there is room for it, after those that were refused before it.
    ///
    /// `wait` is the forecast of the job, `work` its work in thousandths of a core times milliseconds, `spare` what is
    /// left of the entry's room beside the usual arrivals, in thousandths of a core.
    pub fn schedule(
        &mut self,
        now: Moment,
        job: JobId,
        wait: Option<Duration>,
        work: u64,
        spare: f64,
    ) -> Duration {
        let wait = wait.unwrap_or(MIN_RETRY_DELAY);
        let earliest = now + wait.max(MIN_RETRY_DELAY);
        let latest = now + MAX_RETRY_DELAY;
        let at = self.next.max(earliest).min(latest);
        let slot = work as f64 / spare.max(f64::MIN_POSITIVE) / 1_000.0;
        let slot = Duration::from_secs_f64(slot.min(MAX_RETRY_DELAY.as_secs_f64()));
        self.next = at + slot;
        self.remember(now, job, at);
        at.since(now)
    }

    /// Whether a job comes back at the time that its caller was told; it is forgotten then.
    pub fn is_on_time(&mut self, now: Moment, job: JobId) -> bool {
        let Some(at) = self.told.remove(&job) else {
            return false;
        };
        self.by_time.remove(&(at, job));
        now + KEPT_WITHIN >= at && now <= at + KEPT_WITHIN
    }

    fn remember(&mut self, now: Moment, job: JobId, at: Moment) {
        if let Some(before) = self.told.insert(job, at) {
            self.by_time.remove(&(before, job));
        }
        self.by_time.insert((at, job));
        while let Some((first, other)) = self.by_time.first().copied() {
            let is_missed = first + KEPT_WITHIN < now;
            if !is_missed && self.by_time.len() <= MOST_KEPT {
                return;
            }
            self.by_time.pop_first();
            self.told.remove(&other);
        }
    }
}
