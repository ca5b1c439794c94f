use std::time::Duration;

use super::active_job::ActiveJob;
use crate::types::Moment;

/// Forecast of when a job can still be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CompletionForecast {
    /// The job can be completed within its latency objective.
    InTime,
    /// The job can be completed within three times its latency objective.
    Late,
    /// The job can only be completed later than three times its latency objective.
    Hopeless,
}

/// Position of a job among the waiting jobs: the job with the lowest key is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// Whether the job's kind is contained, so that the job waits for other targets than the remaining jobs do.
    pub is_contained: bool,
    /// Completion forecast. Jobs that can still be in time go before those that can't.
    pub completion_forecast: CompletionForecast,
    /// Whether no task of the job has started.
    ///
    /// A job that has begun has no value until all of it is done, so it is finished first, whatever the priority of its
    /// queue, unless it yields. Where capacity is granted, this does not apply to the most urgent queues, which are
    /// served by priority alone.
    pub is_new: bool,
    /// Priority of the queue; lower values go first.
    pub priority: u32,
    /// Last time at which the longest remaining chain of work can start to meet the completion forecast.
    pub latest_start: Moment,
    /// Number of the job in the order of arrival.
    pub sequence: u64,
}

/// Times that determine how urgent a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobTimes {
    /// Time until which the job is in time.
    pub(crate) objective: Moment,
    /// Time until which the job counts as late, and not as infeasible.
    pub(crate) late: Moment,
    /// Time for which the job could wait for capacity when it arrived.
    pub(crate) slack: Duration,
}

/// Priority from which on [`OrderKey::rank`] makes no difference between priorities.
const LOWEST_PRIORITY: u32 = 15;

impl OrderKey {
    /// Lower bound of the keys of jobs whose kinds are contained.
    pub(crate) const FIRST_CONTAINED: Self = Self {
        is_contained: true,
        completion_forecast: CompletionForecast::InTime,
        is_new: false,
        priority: 0,
        latest_start: Moment::from_micros(0),
        sequence: 0,
    };

    /// Returns whether a job of this rank goes before all new jobs except those of the most urgent queues.
    pub(crate) fn goes_before_new_jobs(rank: u8) -> bool {
        u32::from(rank) <= LOWEST_PRIORITY
    }

    /// Returns the completion forecast, whether the job has begun, and the priority as one number; the lowest is the
    /// most urgent.
    ///
    /// Sides offer their capacity by this rank, so that all entries first finish the jobs that have begun.
    pub fn rank(&self) -> u8 {
        let class = self.completion_forecast as u8 * 2 + u8::from(self.is_new);
        let priority = self.priority.min(LOWEST_PRIORITY);
        class * (LOWEST_PRIORITY as u8 + 1) + priority as u8
    }
}

impl JobTimes {
    /// Returns the completion forecast of a job whose longest remaining chain of work takes `chain`, and the last time
    /// at which that chain can start.
    pub(crate) fn completion_forecast(
        &self,
        now: Moment,
        chain: Duration,
    ) -> (CompletionForecast, Moment) {
        let end = now + chain;
        let (forecast, by) = if end <= self.objective {
            (CompletionForecast::InTime, self.objective)
        } else if end <= self.late {
            (CompletionForecast::Late, self.late)
        } else {
            (CompletionForecast::Hopeless, self.late)
        };
        (forecast, by - chain)
    }
}

/// Head start of a caller that returns at its retry time. It goes before callers of its priority that came
/// up to this much later.
const RETURNING_HEAD_START: Duration = Duration::from_millis(200);

impl ActiveJob {
    fn head_start(&self) -> Duration {
        match self.forecast.has_returned_on_time {
            true => RETURNING_HEAD_START,
            false => Duration::ZERO,
        }
    }

    /// Returns the position of the job among the waiting jobs.
    pub(crate) fn order_key(&self, now: Moment, is_contained: bool, goes_first: bool) -> OrderKey {
        let (forecast, latest_start) = self.times.completion_forecast(now, self.remaining_chain());
        let latest_start = latest_start - self.head_start();
        OrderKey {
            is_contained,
            completion_forecast: forecast,
            priority: self.policy.priority,
            is_new: !self.may_have_begun() && !goes_first,
            latest_start,
            sequence: self.sequence,
        }
    }
}
