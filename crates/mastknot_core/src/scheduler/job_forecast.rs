use std::time::Duration;

use super::admission::REVIEW_INTERVAL;
use crate::types::Moment;

/// Forecast of a job's wait, and when it was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastWait {
    pub(crate) at: Moment,
    pub(crate) wait: Duration,
}

/// State of the forecast of a waiting job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobForecast {
    /// Whether the job has been reviewed at least once.
    pub(crate) is_reviewed: bool,
    /// Start of the period in which every review has denied the job, or `None` if the last review has not.
    denied_since: Option<Moment>,
    /// Forecast of the first review, kept until it is compared with the actual wait.
    pub(crate) first_forecast: Option<ForecastWait>,
    /// Forecast wait with which the job was refused.
    pub(crate) refused_wait: Option<Duration>,
    /// Whether the job's caller has submitted it again at the time that it was given.
    pub(crate) has_returned_on_time: bool,
}

impl JobForecast {
    /// Records whether a review has denied the job.
    pub(crate) fn record_review(&mut self, now: Moment, is_denied: bool) {
        self.denied_since = is_denied.then(|| self.denied_since.unwrap_or(now));
    }

    /// Returns whether the job has been denied since an earlier review. Reviews that the arrival of other jobs triggers
    /// within [`REVIEW_INTERVAL`] come too soon to add evidence.
    pub(crate) fn was_denied_before(&self, now: Moment) -> bool {
        self.denied_since
            .is_some_and(|since| now >= since + REVIEW_INTERVAL)
    }
}
