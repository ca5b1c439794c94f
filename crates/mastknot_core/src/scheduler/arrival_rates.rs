use std::time::Duration;

use crate::types::Moment;

/// Number of distinct priority levels. All less urgent priorities share the last one.
const PRIORITY_LEVELS: usize = 16;

/// Rate at which work arrives per priority, as an exponentially decaying average.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalRates {
    /// Time constant of the decay: after this time an arrival counts a little more than a third.
    time_constant: Duration,
    first_arrival: Option<Moment>,
    updated_at: Moment,
    /// Decayed sums of arrived work per priority, in thousandths of a core times milliseconds.
    decayed_work: [f64; PRIORITY_LEVELS],
}

impl ArrivalRates {
    pub(crate) fn with_time_constant(time_constant: Duration) -> Self {
        Self {
            time_constant,
            first_arrival: None,
            updated_at: Moment::default(),
            decayed_work: [0.0; PRIORITY_LEVELS],
        }
    }

    /// Records the arrival of work, given in thousandths of a core times milliseconds.
    pub(crate) fn record(&mut self, now: Moment, priority: u32, work: u64) {
        self.first_arrival.get_or_insert(now);
        let decay = self.decay(now);
        self.decayed_work.iter_mut().for_each(|sum| *sum *= decay);
        self.updated_at = now;
        let index = (priority as usize).min(PRIORITY_LEVELS - 1);
        self.decayed_work[index] += work as f64;
    }

    /// Returns the arrival rate of work that is more urgent than `priority`, in thousandths of a core.
    pub(crate) fn rate_before(&self, now: Moment, priority: u32) -> f64 {
        let count = (priority as usize).min(PRIORITY_LEVELS - 1);
        self.rate(now, &self.decayed_work[..count])
    }

    /// Returns the arrival rate of all work, in thousandths of a core.
    pub(crate) fn total_rate(&self, now: Moment) -> f64 {
        self.rate(now, &self.decayed_work)
    }

    fn rate(&self, now: Moment, decayed_work: &[f64]) -> f64 {
        let Some(first_arrival) = self.first_arrival else {
            return 0.0;
        };
        let time_constant = self.time_constant.as_secs_f64();
        let observed = now.since(first_arrival).as_secs_f64();
        // Until the time constant has passed, the sums cover a shorter time; dividing by the whole time constant would
        // make the rate too low.
        let effective = time_constant * (1.0 - (-observed / time_constant).exp());
        let effective_ms = effective.max(time_constant * MIN_OBSERVED_SHARE) * 1_000.0;
        decayed_work.iter().sum::<f64>() * self.decay(now) / effective_ms
    }

    fn decay(&self, now: Moment) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        (-passed / self.time_constant.as_secs_f64()).exp()
    }
}

/// Share of the time constant that counts as observed at least: a first arrival alone shows no rate.
const MIN_OBSERVED_SHARE: f64 = 0.1;
