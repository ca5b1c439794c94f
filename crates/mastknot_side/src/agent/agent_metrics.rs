use std::sync::atomic::AtomicU64;
use std::time::Duration;

use mastknot_core::agent::{AgentDecision, HallTotal};
use mastknot_core::job::EndOfRun;
use mastknot_core::types::Hall;
use mastknot_runtime::{latency_histogram, registry_text};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct HallLabels {
    hall: String,
}

type HallSeconds = Family<HallLabels, Gauge<f64, AtomicU64>>;

/// Work of the whole target in one second, in thousandths of the target times milliseconds.
const WORK_PER_TARGET_SECOND: f64 = 1e6;

/// Prometheus metrics of a side: run times by end of run, decisions by kind, and work by hall.
pub(super) struct AgentMetrics {
    registry: Registry,
    run_seconds: Family<EndLabels, Histogram>,
    events: Family<EventLabels, Counter>,
    hall_due: HallSeconds,
    hall_obtained: HallSeconds,
}

impl AgentMetrics {
    pub(super) fn new() -> Self {
        let mut registry = Registry::default();
        let run_seconds = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let events = Family::<EventLabels, Counter>::default();
        registry.register(
            "mastknot_run_seconds",
            "From the order to the known end of a run, by end",
            run_seconds.clone(),
        );
        registry.register("mastknot_side_events", "Decisions by kind", events.clone());
        let hall_due = HallSeconds::default();
        let hall_obtained = HallSeconds::default();
        registry.register(
            "mastknot_hall_due_seconds",
            "What a hall was due by weight while it waited, in seconds of the whole target",
            hall_due.clone(),
        );
        registry.register(
            "mastknot_hall_had_seconds",
            "What was started for a hall while any waited, in seconds of the whole target",
            hall_obtained.clone(),
        );
        Self {
            registry,
            run_seconds,
            events,
            hall_due,
            hall_obtained,
        }
    }

    /// Counts a decision and, if a run ended, observes its run time.
    pub(super) fn record(&self, decision: &AgentDecision) {
        if let AgentDecision::RunEnded { end, ran_ms, .. } = decision {
            let labels = EndLabels {
                end: end_name(*end),
            };
            let run_time = Duration::from_millis(u64::from(*ran_ms)).as_secs_f64();
            self.run_seconds.get_or_create(&labels).observe(run_time);
        }
        let event = event_name(decision);
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// Sets the work that each hall was entitled to and obtained since the side started.
    pub(super) fn record_halls<'a>(&self, halls: impl Iterator<Item = (&'a Hall, &'a HallTotal)>) {
        for (hall, total) in halls {
            let labels = HallLabels {
                hall: hall.to_string(),
            };
            let seconds = |work: u64| work as f64 / WORK_PER_TARGET_SECOND;
            self.hall_due.get_or_create(&labels).set(seconds(total.due));
            self.hall_obtained
                .get_or_create(&labels)
                .set(seconds(total.obtained));
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub(super) fn text(&self) -> String {
        registry_text(&self.registry)
    }
}

fn end_name(end: EndOfRun) -> &'static str {
    match end {
        EndOfRun::Done => "done",
        EndOfRun::Failed { .. } => "failed",
        EndOfRun::Stopped => "stopped",
        EndOfRun::Stalled => "stalled",
        EndOfRun::Lost => "lost",
        EndOfRun::Crashed => "crashed",
        EndOfRun::NotRun(_) => "not_run",
    }
}

fn event_name(decision: &AgentDecision) -> &'static str {
    match decision {
        AgentDecision::TurnedAway { .. } => "turned_away",
        AgentDecision::RunEnded { .. } => "run_ended",
        AgentDecision::Stopping { .. } => "stopping",
        AgentDecision::OrderUnanswered { .. } => "order_unanswered",
        AgentDecision::StopUnanswered { .. } => "stop_unanswered",
        AgentDecision::Unclaimed { .. } => "run_unclaimed",
        AgentDecision::LeaseEnded { .. } => "lease_ended",
        AgentDecision::ClaimGraceEnded { .. } => "claims_taken",
        AgentDecision::EntryJoined { .. } => "entry_joined",
        AgentDecision::ClaimWaits { .. } => "claim_waits",
        AgentDecision::JobCancelled { .. } => "job_cancelled",
        AgentDecision::Offered { .. } => "room_offered",
        AgentDecision::Granted { .. } => "room_granted",
        AgentDecision::StartQueued { .. } => "start_queued",
        AgentDecision::QueuedStartServed { .. } => "queued_start_served",
        AgentDecision::ConditionChanged { .. } => "target_condition",
        AgentDecision::HallDrained { .. } => "hall_drained",
        AgentDecision::ShareWeights { .. } => "share_weights",
        AgentDecision::TargetCrashed(_) => "target_crashed",
        AgentDecision::TokenTaken { .. } => "fencing_token",
        AgentDecision::LateReport { .. } => "late_target_report",
        AgentDecision::WrongProfile { .. } => "wrong_target_profile",
        AgentDecision::OtherIncarnation { .. } => "other_target_life",
        AgentDecision::TargetRestarted { .. } => "target_reborn",
        AgentDecision::ProbeFailed { .. } => "look_failed",
    }
}
