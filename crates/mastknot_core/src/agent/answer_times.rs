use std::time::Duration;

/// The shortest wait for an answer: a target on the same VM answers in a millisecond or two.
const SHORTEST: Duration = Duration::from_millis(20);
/// The longest wait for an answer, and the first one.
const LONGEST: Duration = Duration::from_millis(50);
/// The weight of a new time against the mean so far, as a divisor.
const MEAN_WEIGHT: u32 = 8;
/// The weight of a new deviation against the mean so far, as a divisor.
const DEVIATION_WEIGHT: u32 = 4;
/// So many mean deviations above the mean an answer counts as lost.
const DEVIATIONS: u32 = 4;

/// How long answers of the target take, and from when on one counts as lost.
///
/// Mean and deviation are smoothed as for TCP's retransmission timeout (RFC 6298); times of calls
/// without an answer are not included.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    mean: Option<Duration>,
    deviation: Duration,
}

impl AnswerTimes {
    /// An answer came after this time.
    pub(crate) fn note(&mut self, took: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(took);
            self.deviation = took / 2;
            return;
        };
        let off = took.abs_diff(mean);
        self.deviation = (self.deviation * (DEVIATION_WEIGHT - 1) + off) / DEVIATION_WEIGHT;
        self.mean = Some((mean * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT);
    }

    /// How long to wait for the next answer.
    pub(crate) fn limit(&self) -> Duration {
        match self.mean {
            Some(mean) => (mean + self.deviation * DEVIATIONS).clamp(SHORTEST, LONGEST),
            None => LONGEST,
        }
    }
}
