use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::RankedWork;
use crate::types::Moment;

/// Time constant of the decay, short because bursts come and go.
const TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Mean below which a rank is dropped, in thousandths of a core times milliseconds.
const NEGLIGIBLE: f64 = 1.0;

/// Mean work that has waited at an entry per rank, as an exponentially decaying average.
#[derive(Clone, Debug, Default)]
pub(crate) struct MeanWaiting {
    updated_at: Moment,
    means: BTreeMap<u8, f64>,
}

impl MeanWaiting {
    /// Records the work that waits now.
    pub(crate) fn record(&mut self, now: Moment, waiting: &[RankedWork]) {
        let passed = now.since(self.updated_at);
        self.updated_at = now;
        let decay = (-passed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.means.values_mut().for_each(|mean| *mean *= decay);
        for work in waiting {
            *self.means.entry(work.rank).or_default() += work.cpu_millis_ms as f64 * (1.0 - decay);
        }
        self.means.retain(|_, mean| *mean >= NEGLIGIBLE);
    }

    /// Returns the mean work of each rank, in thousandths of a core times milliseconds, the most urgent rank first.
    pub(crate) fn by_rank(&self) -> impl Iterator<Item = (u8, f64)> {
        self.means.iter().map(|(rank, mean)| (*rank, *mean))
    }
}
