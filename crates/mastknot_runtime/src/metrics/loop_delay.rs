use std::time::Duration;

use log::warn;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tokio::time::{Instant, sleep};

use super::latency_histogram;
use crate::clock::suspended_so_far;

/// Interval between two measurements. Ten wake-ups a second cost little compared with the heartbeats of an entry.
const INTERVAL: Duration = Duration::from_millis(100);
/// Delay above which a measurement is logged. Leases last only a third of a second, so longer delays endanger them.
const LOG_THRESHOLD: Duration = Duration::from_millis(100);

/// Measures how late timers fire, which shows how long the event loop of the process is blocked by its own work, by
/// lack of processor time, or because the whole process is paused.
#[derive(Clone, Debug)]
pub struct LoopDelay {
    seconds: Histogram,
    suspensions: Counter,
}

impl LoopDelay {
    /// Starts measuring on the current runtime, until the runtime ends.
    pub fn start() -> Self {
        let delay = Self {
            seconds: latency_histogram(),
            suspensions: Counter::default(),
        };
        tokio::spawn(delay.clone().measure());
        delay
    }

    /// Registers the histogram of delays and the counter of suspensions.
    pub fn register(&self, registry: &mut Registry) {
        let help = "How late timers go off";
        registry.register("mastknot_loop_delay_seconds", help, self.seconds.clone());
        let help = "How often the VM was suspended";
        registry.register("mastknot_suspensions", help, self.suspensions.clone());
    }

    #[expect(
        clippy::disallowed_methods,
        reason = "the delay of timers is measured with the clock that they use"
    )]
    async fn measure(self) {
        let mut suspended = suspended_so_far();
        loop {
            let due = Instant::now() + INTERVAL;
            sleep(INTERVAL).await;
            let delay = due.elapsed();
            self.seconds.observe(delay.as_secs_f64());
            if delay > LOG_THRESHOLD {
                warn!(late_ms = delay.as_millis() as u64; "event loop was blocked");
            }
            let suspended_now = suspended_so_far();
            let suspended_for = suspended_now.saturating_sub(suspended);
            if suspended_for > LOG_THRESHOLD {
                self.suspensions.inc();
                warn!(asleep_ms = suspended_for.as_millis() as u64; "resumed after a suspension of the VM");
            }
            suspended = suspended_now;
        }
    }
}
