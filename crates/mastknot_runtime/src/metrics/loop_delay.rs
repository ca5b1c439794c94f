use std::time::Duration;

use log::warn;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tokio::time::{Instant, sleep};

use super::latency_histogram;
use crate::clock::suspended_so_far;

/// Between two measurements: ten wake-ups a second cost little beside an entry's heartbeats.
const INTERVAL: Duration = Duration::from_millis(100);
/// A loop held longer than this is worth a log line: leases of a third of a second are at stake.
const NOTABLE: Duration = Duration::from_millis(100);

/// How late timers go off: how long the process's loop is held up by its own work, by the lack of
/// processor time, or by a pause of the whole process.
#[derive(Clone, Debug)]
pub struct LoopDelay {
    seconds: Histogram,
    suspensions: Counter,
}

impl LoopDelay {
    /// Measures from now on, as long as the runtime lives.
    pub fn start() -> Self {
        let delay = Self {
            seconds: latency_histogram(),
            suspensions: Counter::default(),
        };
        tokio::spawn(delay.clone().measure());
        delay
    }

    /// Makes the histogram part of a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "How late timers go off";
        registry.register("mastknot_loop_delay_seconds", help, self.seconds.clone());
        let help = "How often the VM was suspended";
        registry.register("mastknot_suspensions", help, self.suspensions.clone());
    }

    #[expect(
        clippy::disallowed_methods,
        reason = "it measures timers, by the clock that they go by"
    )]
    async fn measure(self) {
        let mut suspended = suspended_so_far();
        loop {
            let due = Instant::now() + INTERVAL;
            sleep(INTERVAL).await;
            let late = due.elapsed();
            self.seconds.observe(late.as_secs_f64());
            if late > NOTABLE {
                warn!(late_ms = late.as_millis() as u64; "loop held up");
            }
            let suspended_now = suspended_so_far();
            let asleep = suspended_now.saturating_sub(suspended);
            if asleep > NOTABLE {
                self.suspensions.inc();
                warn!(asleep_ms = asleep.as_millis() as u64; "woke from a suspension");
            }
            suspended = suspended_now;
        }
    }
}
