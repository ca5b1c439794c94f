use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::types::Moment;

/// What a queue lost weighs a third after this time: a crowd and its returns are over by then.
const MEMORY: Duration = Duration::from_secs(4);
/// Beyond so many queues those that were quiet for long are forgotten.
const MAX_QUEUES: usize = 256;

/// The answers of a queue's jobs, fading.
#[derive(Clone, Copy, Debug)]
struct FadingAnswers {
    at: Moment,
    lost: f64,
    all: f64,
}

impl FadingAnswers {
    fn new(now: Moment) -> Self {
        Self {
            at: now,
            lost: 0.0,
            all: 0.0,
        }
    }

    /// What is left of the weight of an answer that was noted last.
    fn left(&self, now: Moment) -> f64 {
        (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn all_left(&self, now: Moment) -> f64 {
        self.all * self.left(now)
    }

    fn share(&self, now: Moment) -> f64 {
        self.lost * self.left(now) / self.all_left(now).max(1.0)
    }

    fn note(&mut self, now: Moment, is_lost: bool) {
        let left = self.left(now);
        self.at = now;
        self.lost = self.lost * left + f64::from(u8::from(is_lost));
        self.all = self.all * left + 1.0;
    }
}

/// Which share of its jobs each queue has lost of late: refused, given up, or late.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueLosses {
    queues: HashMap<Arc<str>, FadingAnswers>,
}

impl QueueLosses {
    /// A job of the queue was answered.
    pub(super) fn record(&mut self, now: Moment, queue: &Arc<str>, is_lost: bool) {
        if self.queues.len() >= MAX_QUEUES && !self.queues.contains_key(queue) {
            self.queues
                .retain(|_, answers| answers.all_left(now) >= 1.0);
        }
        let queue = self.queues.entry(Arc::clone(queue));
        let answers = queue.or_insert_with(|| FadingAnswers::new(now));
        answers.note(now, is_lost);
    }

    /// The share of a queue, from 0 to 1; 0 for one that is not known, and less and less for one that is quiet.
    pub(super) fn share(&self, now: Moment, queue: &str) -> f64 {
        let answers = self.queues.get(queue);
        answers.map_or(0.0, |answers| answers.share(now))
    }
}
