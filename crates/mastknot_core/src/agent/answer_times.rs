use std::time::Duration;

/// Lower bound of the timeout. A target on the same VM answers in one or two milliseconds.
const MIN_TIMEOUT: Duration = Duration::from_millis(20);
/// Upper bound of the timeout, which is also its initial value.
const MAX_TIMEOUT: Duration = Duration::from_millis(50);
/// Divisor that gives the weight of a new sample in the smoothed mean.
const MEAN_WEIGHT: u32 = 8;
/// Divisor that gives the weight of a new deviation in the smoothed deviation.
const DEVIATION_WEIGHT: u32 = 4;
/// Number of mean deviations above the mean after which an answer counts as lost.
const DEVIATIONS: u32 = 4;

/// Estimate of the target's answer times, from which the timeout of calls is derived.
///
/// Mean and deviation are smoothed as for TCP's retransmission timeout (RFC 6298). Calls without an
/// answer are not included.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    mean: Option<Duration>,
    deviation: Duration,
}

impl AnswerTimes {
    /// Records the time that an answer took.
    pub(crate) fn record(&mut self, took: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(took);
            self.deviation = took / 2;
            return;
        };
        let off = took.abs_diff(mean);
        self.deviation = (self.deviation * (DEVIATION_WEIGHT - 1) + off) / DEVIATION_WEIGHT;
        self.mean = Some((mean * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT);
    }

    /// Returns the timeout of the next call.
    pub(crate) fn timeout(&self) -> Duration {
        match self.mean {
            Some(mean) => (mean + self.deviation * DEVIATIONS).clamp(MIN_TIMEOUT, MAX_TIMEOUT),
            None => MAX_TIMEOUT,
        }
    }
}
