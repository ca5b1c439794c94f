use std::time::Duration;

use super::Forecast;

/// A job of which nothing has begun is looked at again after this: some reports have come by then, and a caller that is
/// refused at the second look has lost less than ten milliseconds.
pub const REVIEW_INTERVAL: Duration = Duration::from_millis(4);
/// The forecast's error takes this part of the wait off at most: a queue whose forecast is of no use is not held in vain,
/// and a job without any time left is not held at all.
const MAX_MARGIN_SHARE: f64 = 0.5;
/// A refusal at arrival allows for so many times the error.
const ARRIVAL_ERROR_FACTOR: u32 = 2;

/// What is decided of a job of which nothing has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Wait,
    /// The forecast denies it; the next look decides.
    DeniedOnce,
    /// It is refused now.
    Refuse,
}

/// What an [`Admission`] is decided by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionInput {
    /// When it would find room.
    pub forecast: Forecast,
    /// Its longest chain of work.
    pub chain: Duration,
    /// What is left of it, or of its caller's time.
    pub left: Duration,
    /// By how much the forecast of its queue is off as a rule.
    pub error: Duration,
    /// Whether a target has room for a task of it.
    pub has_room: bool,
    /// Whether this is the first look at it.
    pub is_new: bool,
    /// Whether the last look denied it.
    pub was_denied_before: bool,
}

impl Admission {
    /// Refuses what can only be late, once that is certain.
    ///
    /// Where room is short a late answer takes it from others in time. One noisy view refuses nobody, and what could begin
    /// now is never refused.
    pub fn of(input: &AdmissionInput) -> Self {
        if input.has_room {
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
    /// Whether the job would be late even if it waited for less than forecast by this margin.
    fn is_late_despite(&self, margin: Duration) -> bool {
        let Some(wait) = self.forecast.wait else {
            return true;
        };
        let margin = margin.min(wait.mul_f64(MAX_MARGIN_SHARE));
        wait - margin + self.chain > self.left
    }
}
