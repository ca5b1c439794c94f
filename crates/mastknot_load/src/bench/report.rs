use std::collections::BTreeMap;

use serde::Serialize;

/// Outcome of one submission in one arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Time from sending the submission to receiving its complete answer, in microseconds; `None`
    /// if there was no complete answer.
    pub response: Option<u64>,
}

/// Result of one arm on one workload.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ArmReport {
    /// Name of the arm.
    pub arm: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Median response time divided by the median response time of the omniscient queue on the same
    /// arrivals.
    pub response_over_omniscient_p50: f64,
    /// 99th percentile of the response time divided by that of the omniscient queue on the same
    /// arrivals.
    pub response_over_omniscient_p99: f64,
    /// Median of the response time divided by the ideal response time of the same submission, which
    /// is that of its longest task and the round trips.
    pub response_over_ideal_p50: f64,
    /// 99th percentile of the response time divided by the ideal response time of the submission.
    pub response_over_ideal_p99: f64,
    /// 99.9th percentile of the response time divided by the ideal response time of the submission.
    pub response_over_ideal_p999: f64,
    /// Messages between processes for each started task, including control messages.
    pub messages_per_task: f64,
    /// Messages other than starts and answers, for each started task, by kind.
    pub other_per_task: BTreeMap<String, f64>,
    /// Wasted messages for each started task: refused starts, their refusals, stops, and answers
    /// that matched no open task.
    pub wasted_per_task: f64,
    /// Number of submissions that completed.
    pub completed: u64,
    /// Number of submissions that were refused.
    pub refused: u64,
    /// Number of submissions that failed or got no answer.
    pub failed: u64,
    /// Run time of the tasks of completed submissions, as a share of the time of all slots while
    /// submissions arrived.
    pub goodput: f64,
}

/// Sorts the values and returns the quantile `q`, from 0 to 1; zero if there are no values.
pub(super) fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = ((values.len() - 1) as f64 * q).round() as usize;
    values[index]
}
