//! Cost of dispatching compared with direct calls to the target, measured in one interleaved run.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use mastknot_client::Client;
use mastknot_harness::{Harness, Plan};
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::error::{InvalidRunSnafu, LoadError};
use crate::keys::new_key;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum share of calls that must succeed for the run to be valid.
const MIN_SUCCESS_SHARE: f64 = 0.99;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct OverheadPlan {
    /// Calls per second, of both arms together.
    pub rate: u32,
    /// Duration of the run, in seconds.
    pub seconds: u32,
}

/// Results of a run; all times are in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadReport {
    /// Calls per second, of both arms together.
    pub rate: u32,
    /// Number of successful calls of the arm that has fewer of them.
    pub calls: u64,
    /// Number of failed calls, of both arms together.
    pub failed: u64,
    /// Median time of a direct call to the target.
    pub direct_p50_us: u64,
    /// 99th percentile of the time of a direct call to the target.
    pub direct_p99_us: u64,
    /// Median time of a call through entry and side.
    pub dispatched_p50_us: u64,
    /// 99th percentile of the time of a call through entry and side.
    pub dispatched_p99_us: u64,
    /// Difference of the medians.
    pub overhead_p50_us: u64,
    /// Difference of the 99th percentiles.
    pub overhead_p99_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arm {
    Direct,
    Dispatched,
}

struct Sample {
    arm: Arm,
    micros: Option<u64>,
}

/// Calls the target at a fixed rate, alternately directly and through mastknot.
pub async fn measure_overhead(plan: OverheadPlan) -> Result<OverheadReport, LoadError> {
    let system = Plan::new(["hall-1"])
        .entries(1)
        .sides(1)
        .slots(256)
        .recording(false);
    let harness = Harness::start(system).await?;
    let service = json!({ "path": "/run", "repeatable": true });
    harness.create("service", "run", service).await?;
    let client = Client::new(CALL_TIMEOUT);
    let target = harness.workers[0].address();
    let entry = harness.callers()[0];
    let (sender, mut samples) = mpsc::unbounded_channel();
    let mut ticks = interval(Duration::from_secs(1) / plan.rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for index in 0..u64::from(plan.rate) * u64::from(plan.seconds) {
        ticks.tick().await;
        let arm = if index % 2 == 0 {
            Arm::Direct
        } else {
            Arm::Dispatched
        };
        let (client, sender) = (client.clone(), sender.clone());
        tokio::spawn(async move {
            let micros = call(&client, arm, target, entry).await;
            let _ = sender.send(Sample { arm, micros });
        });
    }
    drop(sender);
    let mut direct = new_histogram();
    let mut dispatched = new_histogram();
    let mut failed = 0;
    while let Some(sample) = samples.recv().await {
        let histogram = match sample.arm {
            Arm::Direct => &mut direct,
            Arm::Dispatched => &mut dispatched,
        };
        match sample.micros {
            Some(micros) => histogram.saturating_record(micros),
            None => failed += 1,
        }
    }
    report(plan, &direct, &dispatched, failed)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

async fn call(client: &Client, arm: Arm, target: SocketAddr, entry: SocketAddr) -> Option<u64> {
    let work = json!({ "ms": 0, "value": 1 });
    let started = Instant::now();
    let answer = match arm {
        Arm::Direct => client.post(target, "/run", &work).await,
        Arm::Dispatched => {
            let body = json!({
                "key": new_key().to_string(),
                "team": "team",
                "customer": "customer",
                "body": work,
            });
            let path = "/v1/services/run/requests";
            client.post(entry, path, &body).await
        }
    };
    let micros = started.elapsed().as_micros() as u64;
    answer
        .ok()
        .filter(|a| a.status.is_success())
        .map(|_| micros)
}

fn report(
    plan: OverheadPlan,
    direct: &Histogram<u64>,
    dispatched: &Histogram<u64>,
    failed: u64,
) -> Result<OverheadReport, LoadError> {
    let calls = direct.len() + dispatched.len();
    let share = calls as f64 / (calls + failed).max(1) as f64;
    if share < MIN_SUCCESS_SHARE {
        let reason = format!("{failed} of {} calls failed", calls + failed);
        return InvalidRunSnafu { reason }.fail();
    }
    let at = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q);
    let (direct_p50_us, direct_p99_us) = (at(direct, 0.5), at(direct, 0.99));
    let (dispatched_p50_us, dispatched_p99_us) = (at(dispatched, 0.5), at(dispatched, 0.99));
    Ok(OverheadReport {
        rate: plan.rate,
        calls: direct.len().min(dispatched.len()),
        failed,
        direct_p50_us,
        direct_p99_us,
        dispatched_p50_us,
        dispatched_p99_us,
        overhead_p50_us: dispatched_p50_us.saturating_sub(direct_p50_us),
        overhead_p99_us: dispatched_p99_us.saturating_sub(direct_p99_us),
    })
}
