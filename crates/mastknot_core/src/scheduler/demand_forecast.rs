use std::time::Duration;

use super::arrival_rates::ArrivalRates;
use super::forecast_errors::ForecastErrors;
use super::mean_waiting::MeanWaiting;
use super::obtained_capacity::ObtainedCapacity;
use super::placed_mean::PlacedMean;
use super::retry_schedule::RetrySchedule;
use crate::types::Moment;

/// Time constant of the current arrival rate: long enough to include some jobs of each queue, and short compared with a
/// burst.
const RECENT: Duration = Duration::from_secs(1);
/// Time constant of the usual arrival rate.
const LONG_TERM: Duration = Duration::from_secs(20);

/// Observations of an entry on which its forecast is based. They are not stored; a new process collects them again
/// within seconds.
#[derive(Clone, Debug)]
pub(super) struct DemandForecast {
    /// Current arrival rates.
    pub(super) recent_arrivals: ArrivalRates,
    /// Usual arrival rates, without the retries of callers that return on time.
    pub(super) usual_arrivals: ArrivalRates,
    pub(super) obtained: ObtainedCapacity,
    /// Mean work that waits at this entry.
    pub(super) waiting: MeanWaiting,
    pub(super) placed_mean: PlacedMean,
    pub(super) errors: ForecastErrors,
    pub(super) retries: RetrySchedule,
    /// Time of the last review of the waiting jobs.
    pub(super) reviewed_at: Moment,
    /// Whether a job has arrived since the last review.
    pub(super) has_new_job: bool,
}

impl Default for DemandForecast {
    fn default() -> Self {
        Self {
            recent_arrivals: ArrivalRates::with_time_constant(RECENT),
            usual_arrivals: ArrivalRates::with_time_constant(LONG_TERM),
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
