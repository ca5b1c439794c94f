use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::types::Moment;

/// Time constant of the decay: after this time an answer counts about a third, and a burst and the retries that follow
/// it are over.
const TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Number of queues from which on those without recent answers are forgotten.
const MAX_QUEUES: usize = 256;

/// Exponentially decaying counts of the answers to a queue's jobs.
#[derive(Clone, Copy, Debug)]
struct DecayingAnswers {
    updated_at: Moment,
    lost: f64,
    total: f64,
}

impl DecayingAnswers {
    fn new(now: Moment) -> Self {
        Self {
            updated_at: now,
            lost: 0.0,
            total: 0.0,
        }
    }

    /// Returns the factor by which the counts have decayed since the last answer.
    fn decay(&self, now: Moment) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn decayed_total(&self, now: Moment) -> f64 {
        self.total * self.decay(now)
    }

    fn share(&self, now: Moment) -> f64 {
        self.lost * self.decay(now) / self.decayed_total(now).max(1.0)
    }

    fn record(&mut self, now: Moment, is_lost: bool) {
        let decay = self.decay(now);
        self.updated_at = now;
        self.lost = self.lost * decay + f64::from(u8::from(is_lost));
        self.total = self.total * decay + 1.0;
    }
}

/// Share of the jobs that each queue has recently lost: refused, given up, or completed late.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueLosses {
    queues: HashMap<Arc<str>, DecayingAnswers>,
}

impl QueueLosses {
    /// Records the answer to a job of the queue.
    pub(super) fn record(&mut self, now: Moment, queue: &Arc<str>, is_lost: bool) {
        if self.queues.len() >= MAX_QUEUES && !self.queues.contains_key(queue) {
            self.queues
                .retain(|_, answers| answers.decayed_total(now) >= 1.0);
        }
        let queue = self.queues.entry(Arc::clone(queue));
        let answers = queue.or_insert_with(|| DecayingAnswers::new(now));
        answers.record(now, is_lost);
    }

    /// Returns the share of lost jobs of a queue, from 0 to 1. It is 0 for an unknown queue and decreases while a queue
    /// gets no answers.
    pub(super) fn share(&self, now: Moment, queue: &str) -> f64 {
        let answers = self.queues.get(queue);
        answers.map_or(0.0, |answers| answers.share(now))
    }
}
