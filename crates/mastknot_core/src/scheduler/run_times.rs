use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::job::LearnedRunTimes;

/// Weight of a new step in the running means.
const WEIGHT: f64 = 1.0 / 64.0;
/// Number of steps that must have ended before their times are used.
const MIN_STEPS: u32 = 16;
/// Prior of the exponent: how much of the deviation of a caller's estimate is trusted before a queue has shown more.
const PRIOR_EXPONENT: f64 = 0.5;
/// Weight of [`PRIOR_EXPONENT`], as a variance of the logarithm of estimates. If the estimates of a queue differ by
/// less than a factor of 1.5, they hardly show how far they can be trusted.
const PRIOR_VARIANCE: f64 = 0.16;
/// Maximum factor between a prediction and the caller's estimate, either way.
const MAX_FACTOR: f64 = 4.0;
/// Maximum number of queues whose times are kept.
const MAX_QUEUES: usize = 1_024;

/// Run times of the steps of each queue, compared with the callers' estimates.
///
/// A step ends with its longest task, which callers do not estimate. A prediction lies between the mean run time of the
/// queue and the time that the caller's estimate suggests, depending on how far longer estimates have meant longer run
/// times in this queue. It is a regression of the logarithm of the run time on the logarithm of the estimate.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    queues: HashMap<Arc<str>, QueueTimes>,
}

/// Statistics of one queue. Means are those of logarithms, because run times vary by factors.
#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    steps: u32,
    /// Mean logarithm of the estimates in seconds.
    log_estimate: f64,
    /// Mean logarithm of the run times in seconds.
    log_run_time: f64,
    /// Variance of the logarithm of the estimates.
    estimate_variance: f64,
    /// Covariance of the logarithms of estimates and run times.
    covariance: f64,
}

impl RunTimes {
    /// Records a step that has ended, with its estimate and the run time of its longest task.
    pub(crate) fn record(&mut self, queue: &Arc<str>, estimate: Duration, run_time: Duration) {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let times = self.queues.entry(Arc::clone(queue)).or_default();
        times.steps = times.steps.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(times.steps));
        let estimate_deviation = logarithm(estimate) - times.log_estimate;
        let run_time_deviation = logarithm(run_time) - times.log_run_time;
        times.log_estimate += estimate_deviation * weight;
        times.log_run_time += run_time_deviation * weight;
        if times.steps > 1 {
            times.estimate_variance +=
                (estimate_deviation * estimate_deviation - times.estimate_variance) * weight;
            times.covariance +=
                (estimate_deviation * run_time_deviation - times.covariance) * weight;
        }
    }

    /// Merges values that another process has learned, if they are based on more steps than the own ones.
    pub(crate) fn merge_prior(&mut self, learned: &LearnedRunTimes) {
        if !self.queues.contains_key(&learned.queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let times = self.queues.entry(Arc::clone(&learned.queue)).or_default();
        if times.steps >= learned.steps {
            return;
        }
        *times = QueueTimes {
            steps: learned.steps,
            log_estimate: learned.log_estimate,
            log_run_time: learned.log_run_time,
            estimate_variance: learned.estimate_variance,
            covariance: learned.covariance,
        };
    }

    /// Returns the statistics of all queues, sorted by queue.
    pub(crate) fn learned(&self) -> Vec<LearnedRunTimes> {
        let queues = self.queues.iter().map(|(queue, times)| LearnedRunTimes {
            queue: Arc::clone(queue),
            steps: times.steps,
            log_estimate: times.log_estimate,
            log_run_time: times.log_run_time,
            estimate_variance: times.estimate_variance,
            covariance: times.covariance,
        });
        let mut queues: Vec<LearnedRunTimes> = queues.collect();
        queues.sort_by(|one, other| one.queue.cmp(&other.queue));
        queues
    }

    /// Returns the expected run time of a step with this estimate.
    pub(crate) fn predict(&self, queue: &str, estimate: Duration) -> Duration {
        let Some(times) = self.queues.get(queue) else {
            return estimate;
        };
        if times.steps < MIN_STEPS || estimate.is_zero() {
            return estimate;
        }
        let deviation = (logarithm(estimate) - times.log_estimate) * times.exponent();
        let expected = (times.log_run_time + deviation).exp();
        let estimate_s = estimate.as_secs_f64();
        Duration::from_secs_f64(expected.clamp(estimate_s / MAX_FACTOR, estimate_s * MAX_FACTOR))
    }
}

impl QueueTimes {
    /// Returns how much of an estimate's deviation from the queue's mean estimate is trusted, from 0 to 1.
    fn exponent(&self) -> f64 {
        let covariance = self.covariance + PRIOR_EXPONENT * PRIOR_VARIANCE;
        let variance = self.estimate_variance + PRIOR_VARIANCE;
        (covariance / variance).clamp(0.0, 1.0)
    }
}

fn logarithm(time: Duration) -> f64 {
    time.max(Duration::from_millis(1)).as_secs_f64().ln()
}
