use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::RankedWork;
use crate::types::Moment;

/// What is older than this counts little: crowds come and go.
const OVER: Duration = Duration::from_millis(200);
/// Less than this is nothing, in thousandths of a core times milliseconds.
const NOTHING: f64 = 1.0;

/// What has waited at an entry on the mean, by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct MeanWaiting {
    at: Moment,
    ranks: BTreeMap<u8, f64>,
}

impl MeanWaiting {
    /// What waits now.
    pub(crate) fn record(&mut self, now: Moment, waiting: &[RankedWork]) {
        let passed = now.since(self.at);
        self.at = now;
        let left = (-passed.as_secs_f64() / OVER.as_secs_f64()).exp();
        self.ranks.values_mut().for_each(|mean| *mean *= left);
        for work in waiting {
            *self.ranks.entry(work.rank).or_default() += work.cpu_millis_ms as f64 * (1.0 - left);
        }
        self.ranks.retain(|_, mean| *mean >= NOTHING);
    }

    /// The mean by rank, the most urgent first.
    pub(crate) fn by_rank(&self) -> impl Iterator<Item = (u8, f64)> {
        self.ranks.iter().map(|(rank, mean)| (*rank, *mean))
    }
}
