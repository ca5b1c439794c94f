use std::time::Duration;

use super::active_job::ActiveJob;
use crate::types::Moment;

/// What a job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CompletionForecast {
    /// It can end within its objective.
    InTime,
    /// It can end within three times its objective.
    Late,
    /// It can only end later still.
    Hopeless,
}

/// Which waiting job is served first: the lowest key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// Whether its kind is contained: it waits for other targets than the rest does.
    pub is_contained: bool,
    /// What can still be in time goes before what can't.
    pub completion_forecast: CompletionForecast,
    /// Whether nothing of it has begun: a job that has begun earns nothing until all of it is done,
    /// so it is finished first, whatever its queue's priority, unless it gives way. Where room is granted this does not count for the most
    /// urgent queues, which take their turn by priority alone.
    pub is_new: bool,
    /// The queue's priority; lower ones go first.
    pub priority: u32,
    /// The last moment to start the longest remaining work, for this outlook.
    pub latest_start: Moment,
    /// The order of arrival.
    pub sequence: u64,
}

/// The moments that decide how urgent a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobTimes {
    /// It is in time until then.
    pub(crate) objective: Moment,
    /// It is late until then.
    pub(crate) late: Moment,
    /// For how long it could wait for room when it came.
    pub(crate) slack: Duration,
}

/// Priorities from this one on count alike in [`OrderKey::rank`].
const LOWEST_PRIORITY: u32 = 15;

impl OrderKey {
    /// The first place of those whose kinds are contained.
    pub(crate) const FIRST_CONTAINED: Self = Self {
        is_contained: true,
        completion_forecast: CompletionForecast::InTime,
        is_new: false,
        priority: 0,
        latest_start: Moment::from_micros(0),
        sequence: 0,
    };

    /// Whether a job of this rank goes before all new jobs but those of the most urgent queues.
    pub(crate) fn goes_before_new_jobs(rank: u8) -> bool {
        u32::from(rank) <= LOWEST_PRIORITY
    }

    /// Outlook, whether it has begun, and priority in one number: the lowest is the most urgent.
    /// Sides offer their room by it, so that all entries finish what has begun first.
    pub fn rank(&self) -> u8 {
        let class = self.completion_forecast as u8 * 2 + u8::from(self.is_new);
        let priority = self.priority.min(LOWEST_PRIORITY);
        class * (LOWEST_PRIORITY as u8 + 1) + priority as u8
    }
}

impl JobTimes {
    /// What a job can still earn whose longest remaining chain of work takes `chain`, and the last
    /// moment to start it.
    pub(crate) fn completion_forecast(
        &self,
        now: Moment,
        chain: Duration,
    ) -> (CompletionForecast, Moment) {
        let end = now + chain;
        let (outlook, by) = if end <= self.objective {
            (CompletionForecast::InTime, self.objective)
        } else if end <= self.late {
            (CompletionForecast::Late, self.late)
        } else {
            (CompletionForecast::Hopeless, self.late)
        };
        (outlook, by - chain)
    }
}

/// A caller that comes back when it was told to goes before those of its priority that are this much newer at most.
const RETURNING_HEAD_START: Duration = Duration::from_millis(200);

impl ActiveJob {
    fn head_start(&self) -> Duration {
        match self.forecast.has_returned_on_time {
            true => RETURNING_HEAD_START,
            false => Duration::ZERO,
        }
    }

    /// Its place among the waiting jobs.
    pub(crate) fn order_key(&self, now: Moment, is_contained: bool, goes_first: bool) -> OrderKey {
        let (outlook, latest_start) = self.times.completion_forecast(now, self.remaining_chain());
        let latest_start = latest_start - self.head_start();
        OrderKey {
            is_contained,
            completion_forecast: outlook,
            priority: self.policy.priority,
            is_new: !self.may_have_begun() && !goes_first,
            latest_start,
            sequence: self.sequence,
        }
    }
}
