use std::time::Duration;

use super::arrival_rates::ArrivalRates;
use super::forecast_errors::ForecastErrors;
use super::mean_waiting::MeanWaiting;
use super::obtained_capacity::ObtainedCapacity;
use super::placed_mean::PlacedMean;
use super::retry_schedule::RetrySchedule;
use crate::types::Moment;

/// What comes now: long enough to see some jobs of each queue, short beside a crowd.
const NOW: Duration = Duration::from_secs(1);
/// What comes as a rule.
const USUAL: Duration = Duration::from_secs(20);

/// What an entry has observed for its forecast. It dies with the process and is learned anew within seconds.
#[derive(Clone, Debug)]
pub(super) struct DemandForecast {
    pub(super) recent_arrivals: ArrivalRates,
    pub(super) usual_arrivals: ArrivalRates,
    pub(super) obtained: ObtainedCapacity,
    pub(super) waiting: MeanWaiting,
    pub(super) placed_mean: PlacedMean,
    pub(super) errors: ForecastErrors,
    pub(super) retries: RetrySchedule,
    /// When the waiting jobs were last looked at.
    pub(super) reviewed_at: Moment,
    /// A job has come since.
    pub(super) has_new_job: bool,
}

impl Default for DemandForecast {
    fn default() -> Self {
        Self {
            recent_arrivals: ArrivalRates::over(NOW),
            usual_arrivals: ArrivalRates::over(USUAL),
            obtained: ObtainedCapacity::default(),
            waiting: MeanWaiting::default(),
            placed_mean: PlacedMean::default(),
            errors: ForecastErrors::default(),
            retries: RetrySchedule::default(),
            reviewed_at: Moment::default(),
            has_new_job: false,
        }
    }
}
