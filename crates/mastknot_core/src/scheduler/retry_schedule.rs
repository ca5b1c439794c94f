use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::job::JobId;
use crate::types::Moment;

/// Minimum time until a refused caller is asked to retry, as callers count in whole seconds.
pub const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum time until a refused caller is asked to retry. Callers that would have to wait longer have gone elsewhere,
/// and forecasts do not reach further.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Deviation from the scheduled time at which a retry still counts as on time. Callers that round to whole seconds are
/// up to half a second early or late, and the request itself takes time.
const ON_TIME_TOLERANCE: Duration = Duration::from_millis(600);
/// Maximum number of callers that are remembered. Beyond it, those with the earliest retry times are forgotten.
const MAX_CALLERS: usize = 4_096;

/// Times at which refused callers have been asked to retry.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// Next time that is not assigned to a caller yet.
    next_free: Moment,
    assigned: HashMap<JobId, Moment>,
    by_time: BTreeSet<(Moment, JobId)>,
}

impl RetrySchedule {
    /// Schedules the retry of a refused job and returns the time until then. The retry comes when there is capacity for
    /// the job, after the retries of jobs that were refused before it.
    ///
    /// `wait` is the forecast of the job, `work` its work in thousandths of a core times milliseconds, and `spare` the
    /// capacity that the usual arrivals leave to the entry, in thousandths of a core.
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
        let at = self.next_free.max(earliest).min(latest);
        let duration = work as f64 / spare.max(f64::MIN_POSITIVE) / 1_000.0;
        let duration = Duration::from_secs_f64(duration.min(MAX_RETRY_DELAY.as_secs_f64()));
        self.next_free = at + duration;
        self.record(now, job, at);
        at.since(now)
    }

    /// Returns whether a job is submitted again at its scheduled time, and forgets that time.
    pub fn is_on_time(&mut self, now: Moment, job: JobId) -> bool {
        let Some(at) = self.assigned.remove(&job) else {
            return false;
        };
        self.by_time.remove(&(at, job));
        now + ON_TIME_TOLERANCE >= at && now <= at + ON_TIME_TOLERANCE
    }

    fn record(&mut self, now: Moment, job: JobId, at: Moment) {
        if let Some(previous) = self.assigned.insert(job, at) {
            self.by_time.remove(&(previous, job));
        }
        self.by_time.insert((at, job));
        while let Some((first, other)) = self.by_time.first().copied() {
            let is_overdue = first + ON_TIME_TOLERANCE < now;
            if !is_overdue && self.by_time.len() <= MAX_CALLERS {
                return;
            }
            self.by_time.pop_first();
            self.assigned.remove(&other);
        }
    }
}
