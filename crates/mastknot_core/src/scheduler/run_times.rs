use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::job::LearnedRunTimes;

/// The weight of a new time against the mean so far.
const WEIGHT: f64 = 1.0 / 64.0;
/// So many steps must have ended before their times are used.
const ENOUGH: u32 = 16;
/// How much of a caller's guess is believed before a queue has shown more.
const FIRST_EXPONENT: f64 = 0.5;
/// The weight of [`FIRST_EXPONENT`], as a variance of the logarithm of guesses: where guesses differ by
/// less than a factor of 1.5 they tell little of how they should be taken.
const FIRST_VARIANCE: f64 = 0.16;
/// A prediction stays within this factor of the caller's guess.
const MAX_FACTOR: f64 = 4.0;
/// The most queues whose times are kept.
const MAX_QUEUES: usize = 1_024;

/// How long the steps of each queue have taken, against the callers' guesses.
///
/// A step ends with its longest task, which callers do not guess. The prediction lies between the mean
/// of what the queue has shown and what the caller's guess says, by how far longer guesses have meant
/// longer times in this queue so far: a regression of the one's logarithm on the other's.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    queues: HashMap<Arc<str>, QueueTimes>,
}

/// Means of logarithms: times scatter by factors.
#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    steps: u32,
    guess: f64,
    ran: f64,
    guess_variance: f64,
    covariance: f64,
}

impl RunTimes {
    /// A step with this guess has ended, and its longest task ran for this time.
    pub(crate) fn record(&mut self, queue: &Arc<str>, guess: Duration, ran: Duration) {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let times = self.queues.entry(Arc::clone(queue)).or_default();
        times.steps = times.steps.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(times.steps));
        let guess_off = logarithm(guess) - times.guess;
        let ran_off = logarithm(ran) - times.ran;
        times.guess += guess_off * weight;
        times.ran += ran_off * weight;
        if times.steps > 1 {
            times.guess_variance += (guess_off * guess_off - times.guess_variance) * weight;
            times.covariance += (guess_off * ran_off - times.covariance) * weight;
        }
    }

    /// Takes another process's belief where it stands on more steps.
    pub(crate) fn believe(&mut self, learned: &LearnedRunTimes) {
        if !self.queues.contains_key(&learned.queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let times = self.queues.entry(Arc::clone(&learned.queue)).or_default();
        if times.steps >= learned.steps {
            return;
        }
        *times = QueueTimes {
            steps: learned.steps,
            guess: learned.log_estimate,
            ran: learned.log_run_time,
            guess_variance: learned.estimate_variance,
            covariance: learned.covariance,
        };
    }

    /// What its steps have shown.
    pub(crate) fn learned(&self) -> Vec<LearnedRunTimes> {
        let queues = self.queues.iter().map(|(queue, times)| LearnedRunTimes {
            queue: Arc::clone(queue),
            steps: times.steps,
            log_estimate: times.guess,
            log_run_time: times.ran,
            estimate_variance: times.guess_variance,
            covariance: times.covariance,
        });
        let mut queues: Vec<LearnedRunTimes> = queues.collect();
        queues.sort_by(|one, other| one.queue.cmp(&other.queue));
        queues
    }

    /// How long a step with this guess is expected to take.
    pub(crate) fn predict(&self, queue: &str, guess: Duration) -> Duration {
        let Some(times) = self.queues.get(queue) else {
            return guess;
        };
        if times.steps < ENOUGH || guess.is_zero() {
            return guess;
        }
        let off = (logarithm(guess) - times.guess) * times.exponent();
        let expected = (times.ran + off).exp();
        let own = guess.as_secs_f64();
        Duration::from_secs_f64(expected.clamp(own / MAX_FACTOR, own * MAX_FACTOR))
    }
}

impl QueueTimes {
    /// How much of a guess's distance from the usual guess is believed, from 0 to 1.
    fn exponent(&self) -> f64 {
        let covariance = self.covariance + FIRST_EXPONENT * FIRST_VARIANCE;
        let variance = self.guess_variance + FIRST_VARIANCE;
        (covariance / variance).clamp(0.0, 1.0)
    }
}

fn logarithm(time: Duration) -> f64 {
    time.max(Duration::from_millis(1)).as_secs_f64().ln()
}
