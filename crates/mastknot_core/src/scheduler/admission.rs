use std::time::Duration;

use super::Forecast;

/// Time between two reviews of a job of which nothing has started. Some reports arrive within this time, and a caller
/// that is refused at the second review has lost less than ten milliseconds.
pub const REVIEW_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum margin for forecast errors, as a fraction of the forecast wait. Jobs of a queue whose forecasts are useless
/// are therefore not held in vain, and a job without any time left is not held at all.
const MAX_MARGIN_SHARE: f64 = 0.5;
/// Multiple of the usual forecast error that is allowed for before a job is refused on arrival.
const ARRIVAL_ERROR_FACTOR: u32 = 2;

/// Decision on a job of which nothing has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job waits.
    Wait,
    /// The forecast denies the job, and the previous review did not. The next review decides.
    DeniedOnce,
    /// The job is refused now.
    Refuse,
}

/// Input for the decision on the [`Admission`] of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionInput {
    /// Forecast of the job's wait for capacity.
    pub forecast: Forecast,
    /// Length of the job's longest chain of dependent work.
    pub chain: Duration,
    /// Time left until the job's latency objective or its caller's deadline, whichever comes first.
    pub left: Duration,
    /// Usual error of the forecasts for the job's queue.
    pub error: Duration,
    /// Whether a target has capacity for a task of the job.
    pub has_capacity: bool,
    /// Whether this is the first review of the job.
    pub is_new: bool,
    /// Whether the previous review denied the job.
    pub was_denied_before: bool,
}

impl Admission {
    /// Refuses a job that can only be late, once that is certain.
    ///
    /// Where capacity is short, a late job takes it from jobs that could be in time. One noisy view of the load refuses
    /// no job, and a job that could start now is never refused.
    pub fn of(input: &AdmissionInput) -> Self {
        if input.has_capacity {
            return Self::Wait;
        }
        let is_sure = input.is_new && input.is_late_despite(input.error * ARRIVAL_ERROR_FACTOR);
        let is_denied = input.is_late_despite(input.error);
        match (is_sure || (is_denied && input.was_denied_before), is_denied) {
            (true, _) => Self::Refuse,
            (false, true) => Self::DeniedOnce,
            (false, false) => Self::Wait,
        }
    }
}

impl AdmissionInput {
    /// Returns whether the job would be late even if its wait were shorter than forecast by `margin`.
    fn is_late_despite(&self, margin: Duration) -> bool {
        let Some(wait) = self.forecast.wait else {
            return true;
        };
        let margin = margin.min(wait.mul_f64(MAX_MARGIN_SHARE));
        wait - margin + self.chain > self.left
    }
}
