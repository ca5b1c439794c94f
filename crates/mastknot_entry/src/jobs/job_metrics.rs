use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use log::info;
use mastknot_core::job::JobAnswer;
use mastknot_core::scheduler::SchedulerDecision;
use mastknot_core::types::Moment;
use mastknot_runtime::{latency_histogram, registry_text};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AnswerLabels {
    answer: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ForecastLabels {
    queue: String,
    /// Whether the actual wait was `shorter` or `longer` than the forecast.
    seen: &'static str,
}

/// Prometheus metrics of an entry's jobs: latencies, forecast errors and the time to recover.
pub(super) struct JobMetrics {
    registry: Registry,
    job_seconds: Family<AnswerLabels, Histogram>,
    first_start_seconds: Histogram,
    task_wait_seconds: Histogram,
    forecast_error_seconds: Family<ForecastLabels, Histogram>,
    recovery_seconds: Gauge<f64, AtomicU64>,
}

impl JobMetrics {
    pub(super) fn new() -> Self {
        let mut registry = Registry::default();
        let job_seconds = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let first_start_seconds = latency_histogram();
        let task_wait_seconds = latency_histogram();
        registry.register(
            "mastknot_job_seconds",
            "From handing in to the answer, by answer",
            job_seconds.clone(),
        );
        registry.register(
            "mastknot_first_start_seconds",
            "From handing in to the first start of a task",
            first_start_seconds.clone(),
        );
        registry.register(
            "mastknot_task_wait_seconds",
            "From handing in to each start of a task",
            task_wait_seconds.clone(),
        );
        let forecast_error_seconds =
            Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        registry.register(
            "mastknot_forecast_error_seconds",
            "The wait for room that was forecast of a job against the one that came, by queue",
            forecast_error_seconds.clone(),
        );
        let recovery_seconds = Gauge::default();
        registry.register(
            "mastknot_recovery_seconds",
            "From the start of the process to its first job in time; 0 until then",
            recovery_seconds.clone(),
        );
        Self {
            registry,
            job_seconds,
            first_start_seconds,
            task_wait_seconds,
            forecast_error_seconds,
            recovery_seconds,
        }
    }

    /// Records a decision at the moment `now`, which counts from the start of the process.
    pub(super) fn record(&self, now: Moment, decision: &SchedulerDecision) {
        match decision {
            SchedulerDecision::Placed { waited_ms, .. } => {
                self.task_wait_seconds.observe(seconds(*waited_ms));
            }
            SchedulerDecision::Answered {
                answer,
                after_ms,
                first_start_ms,
                in_time,
                ..
            } => {
                if *in_time && *answer == JobAnswer::Completed {
                    self.record_recovery(now);
                }
                let answer = answer_name(answer);
                let labels = AnswerLabels { answer };
                self.job_seconds
                    .get_or_create(&labels)
                    .observe(seconds(*after_ms));
                if let Some(first) = first_start_ms {
                    self.first_start_seconds.observe(seconds(*first));
                }
            }
            SchedulerDecision::ForecastSeen {
                queue,
                forecast_ms,
                actual_ms,
                ..
            } => self.record_forecast(queue, *forecast_ms, *actual_ms),
            _ => {}
        }
    }

    fn record_forecast(&self, queue: &Arc<str>, forecast_ms: u64, actual_ms: u64) {
        let seen = match actual_ms > forecast_ms {
            true => "longer",
            false => "shorter",
        };
        let queue = queue.to_string();
        let labels = ForecastLabels { queue, seen };
        let error = self.forecast_error_seconds.get_or_create(&labels);
        error.observe(seconds(forecast_ms.abs_diff(actual_ms)));
    }

    /// Sets the recovery time at the first job that completes in time.
    fn record_recovery(&self, now: Moment) {
        if self.recovery_seconds.get() > 0.0 {
            return;
        }
        let time = now.since(Moment::default());
        self.recovery_seconds.set(time.as_secs_f64());
        let after_ms = time.as_millis() as u64;
        info!(after_ms; "first job in time");
    }

    /// Returns the metrics in the Prometheus text format.
    pub(super) fn text(&self) -> String {
        registry_text(&self.registry)
    }
}

fn answer_name(answer: &JobAnswer) -> &'static str {
    match answer {
        JobAnswer::Completed => "completed",
        JobAnswer::Failed { .. } => "failed",
        JobAnswer::Refused { .. } => "refused",
        JobAnswer::TimedOut => "timed_out",
    }
}

fn seconds(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64()
}
