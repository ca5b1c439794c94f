use std::collections::BTreeMap;

use serde::Serialize;

/// How one submission fared in one arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// From sending to having the complete answer, in microseconds; none if it got none.
    pub response: Option<u64>,
}

/// What one arm did with one workload.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ArmReport {
    /// The arm.
    pub arm: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// Response time over the same percentile of the omniscient queue's, on the same arrivals.
    pub response_over_omniscient_p50: f64,
    /// The same for the 99th percentile.
    pub response_over_omniscient_p99: f64,
    /// Response over the submission's own ideal (longest task and one round trip), median.
    pub response_over_ideal_p50: f64,
    /// The same, 99th percentile.
    pub response_over_ideal_p99: f64,
    /// The same, 99.9th percentile.
    pub response_over_ideal_p999: f64,
    /// Messages between processes for each started task, control included.
    pub messages_per_task: f64,
    /// Messages that did not start a task or bring its answer, for each started task, by kind.
    pub other_per_task: BTreeMap<String, f64>,
    /// Wasted messages for each started task: starts that were refused, the refusals, lent
    /// credits that lapsed, answers that came too late.
    pub wasted_per_task: f64,
    /// Submissions that completed.
    pub completed: u64,
    /// Submissions that were refused.
    pub refused: u64,
    /// Submissions that failed or got no answer.
    pub failed: u64,
    /// Task time of completed submissions as a share of what all slots could do meanwhile.
    pub goodput: f64,
}

/// A percentile of unsorted values; zero for none.
pub(super) fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let place = ((values.len() - 1) as f64 * q).round() as usize;
    values[place]
}
