use std::time::Duration;

use crate::job::JobId;
use crate::types::{ExpiringMap, Moment, NodeName};

/// Maximum number of cancelled jobs that a side remembers.
const MAX_CANCELLED: usize = 16_384;
/// Maximum time for which a job is remembered after its cancel. Callers wait for an answer for seconds.
const MAX_TERM: Duration = Duration::from_secs(120);

/// Cancelled job, as a side remembers it.
#[derive(Clone, Debug)]
pub(super) struct CancelledJob {
    /// Entry at which the cancel was requested.
    pub(super) by: NodeName,
    /// Whether an entry has claimed the job here, before the cancel or since.
    pub(super) was_found: bool,
}

/// Cancelled jobs of which a request may still be in transit.
#[derive(Clone, Debug)]
pub(super) struct CancelledJobs {
    jobs: ExpiringMap<JobId, CancelledJob>,
    /// Longest term of a claim so far. A request that is in transit may be as old.
    longest_claim: Duration,
}

impl Default for CancelledJobs {
    fn default() -> Self {
        Self {
            jobs: ExpiringMap::new(MAX_CANCELLED),
            longest_claim: Duration::ZERO,
        }
    }
}

impl CancelledJobs {
    /// Records the term of a claim.
    pub(super) fn record_claim(&mut self, term: Duration) {
        self.longest_claim = self.longest_claim.max(term);
    }

    /// Remembers a cancelled job for `term`, and for at least twice the longest term of a claim: a caller may submit its
    /// job again after the time that it waits, and the new request may be in transit for as long.
    pub(super) fn remember(
        &mut self,
        now: Moment,
        job: JobId,
        by: &NodeName,
        term: Duration,
    ) -> &mut CancelledJob {
        let until = now + term.max(2 * self.longest_claim).min(MAX_TERM);
        self.jobs.keep(job, until, || CancelledJob {
            by: by.clone(),
            was_found: false,
        })
    }

    /// Records the claim of a cancelled job and remembers the job for `term` from now on. Returns the entry at which the
    /// cancel was requested; `None` if the job is not cancelled.
    pub(super) fn refuse(&mut self, now: Moment, job: JobId, term: Duration) -> Option<NodeName> {
        let by = self.jobs.get(&job)?.by.clone();
        self.remember(now, job, &by, term).was_found = true;
        Some(by)
    }

    /// Returns a cancelled job.
    pub(super) fn get(&self, job: JobId) -> Option<&CancelledJob> {
        self.jobs.get(&job)
    }

    /// Forgets the jobs of which no request can be in transit any more.
    pub(super) fn expire(&mut self, now: Moment) {
        self.jobs.expire(now);
    }

    /// Returns the number of remembered jobs.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs that were forgotten too early, because too many were cancelled.
    pub(super) fn dropped(&self) -> u64 {
        self.jobs.dropped()
    }
}
