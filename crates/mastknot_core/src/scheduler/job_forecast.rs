use std::time::Duration;

use super::admission::REVIEW_INTERVAL;
use crate::types::Moment;

/// What was forecast of a job when it began to wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastWait {
    pub(crate) at: Moment,
    pub(crate) wait: Duration,
}

/// What an entry has told itself of a waiting job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobForecast {
    /// Whether it was looked at.
    pub(crate) is_reviewed: bool,
    /// Since when each look has denied it.
    doubted: Option<Moment>,
    /// The first forecast, until it is compared with what came.
    pub(crate) first_forecast: Option<ForecastWait>,
    /// The forecast by which it was refused.
    pub(crate) refused_wait: Option<Duration>,
    /// Its caller has come back when it was told to.
    pub(crate) has_returned_on_time: bool,
}

impl JobForecast {
    /// Notes whether a look has denied the job.
    pub(crate) fn record_review(&mut self, now: Moment, is_denied: bool) {
        self.doubted = is_denied.then(|| self.doubted.unwrap_or(now));
    }

    /// Whether a look before this one has denied it, and all since; looks at other jobs' arrivals come too soon to tell more.
    pub(crate) fn was_denied_before(&self, now: Moment) -> bool {
        self.doubted
            .is_some_and(|since| now >= since + REVIEW_INTERVAL)
    }
}
