use std::time::Duration;

use crate::types::Moment;

/// Priorities from this one on count alike.
const PRIORITIES: usize = 16;

/// How much work arrives, by priority: a mean that fades with time.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalRates {
    /// What is older than this counts little.
    over: Duration,
    since: Option<Moment>,
    at: Moment,
    /// Faded sums of work, in thousandths of a core times milliseconds.
    sums: [f64; PRIORITIES],
}

impl ArrivalRates {
    pub(crate) fn over(over: Duration) -> Self {
        Self {
            over,
            since: None,
            at: Moment::default(),
            sums: [0.0; PRIORITIES],
        }
    }

    /// Work of a priority has arrived.
    pub(crate) fn record(&mut self, now: Moment, priority: u32, work: u64) {
        self.since.get_or_insert(now);
        let left = self.left(now);
        self.sums.iter_mut().for_each(|sum| *sum *= left);
        self.at = now;
        let place = (priority as usize).min(PRIORITIES - 1);
        self.sums[place] += work as f64;
    }

    /// The rate of what goes before a priority, in thousandths of a core.
    pub(crate) fn rate_before(&self, now: Moment, priority: u32) -> f64 {
        let count = (priority as usize).min(PRIORITIES - 1);
        self.rate(now, &self.sums[..count])
    }

    /// The rate of all of it, in thousandths of a core.
    pub(crate) fn total_rate(&self, now: Moment) -> f64 {
        self.rate(now, &self.sums)
    }

    fn rate(&self, now: Moment, sums: &[f64]) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let over = self.over.as_secs_f64();
        let known = now.since(since).as_secs_f64();
        // As long as less than the whole time has been seen, the sums have had less time to grow.
        let seen = over * (1.0 - (-known / over).exp());
        let seen_ms = seen.max(over * LEAST_SEEN) * 1_000.0;
        sums.iter().sum::<f64>() * self.left(now) / seen_ms
    }

    fn left(&self, now: Moment) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        (-passed / self.over.as_secs_f64()).exp()
    }
}

/// A first arrival alone tells no rate.
const LEAST_SEEN: f64 = 0.1;
