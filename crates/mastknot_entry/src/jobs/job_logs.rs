//! Log lines of an entry's decisions.

use log::{debug, info, warn};
use mastknot_core::scheduler::SchedulerDecision;
use mastknot_core::types::{Hall, NodeName};

/// Log target of the decision lines, by which they can be filtered.
const DECISION: &str = "decision";

/// Writes the log line of a decision.
pub(super) fn log_decision(decision: &SchedulerDecision) {
    match decision {
        SchedulerDecision::Taken {
            job,
            request_id,
            queue,
            kind,
            config_version,
            tasks,
            objective_ms,
            waiting_jobs,
        } => info!(target: DECISION, job:%, request_id:%, queue:%, kind:%, config_version, tasks,
            objective_ms, waiting_jobs; "job_taken"),
        SchedulerDecision::Rejoined { job, request_id } => {
            info!(target: DECISION, job:%, request_id:%; "job_rejoined");
        }
        SchedulerDecision::ClaimHeld {
            job,
            request_id,
            side,
            holder,
            has_begun,
        } => {
            info!(target: DECISION, job:%, request_id:%, side:%, holder:%, has_begun; "claim_held")
        }
        SchedulerDecision::Placed {
            run,
            request_id,
            side,
            free_cpu_millis,
            view_age_ms,
            completion_forecast: outlook,
            waited_ms,
        } => info!(target: DECISION, run:%, request_id:%, side:%, free_cpu_millis, view_age_ms,
            outlook:?, waited_ms; "task_placed"),
        // Needs are reported many times a second under contention, so they are logged at debug
        // level. The `task_placed` line reports the start that follows.
        SchedulerDecision::NeedReported {
            rank,
            cpu_millis,
            sides,
        } => debug!(target: DECISION, rank, cpu_millis, sides; "need_told"),
        SchedulerDecision::RunEnded {
            run,
            request_id,
            side,
            end,
            failures,
            crashes,
        } => info!(target: DECISION, run:%, request_id:%, side:%, end:?, failures, crashes;
            "run_ended"),
        SchedulerDecision::TaskGivenUp {
            task,
            request_id,
            ran_ms,
        } => warn!(target: DECISION, task:%, request_id:%, crashes = ran_ms.len(), ran_ms:?;
            "task_given_up"),
        SchedulerDecision::KindContained { kind, targets } => {
            warn!(target: DECISION, kind:%, targets; "kind_contained");
        }
        SchedulerDecision::KindReleased { kind } => {
            info!(target: DECISION, kind:%; "kind_released");
        }
        SchedulerDecision::KindKnown { kind, targets } => {
            warn!(target: DECISION, kind:%, targets; "kind_known");
        }
        SchedulerDecision::ProfileRead {
            age_ms,
            paces,
            run_times,
            suspects,
        } => info!(target: DECISION, age_ms, paces, run_times, suspects; "profile_read"),
        SchedulerDecision::Answered {
            job,
            request_id,
            answer,
            after_ms,
            first_start_ms,
            starts,
            in_time,
        } => info!(target: DECISION, job:%, request_id:%, answer:?, after_ms, first_start_ms,
            starts, in_time; "job_answered"),
        SchedulerDecision::Denied {
            job,
            request_id,
            queue,
            is_new,
            wait_ms,
            rate_cpu_millis,
            chain_ms,
            left_ms,
            error_ms,
            ahead_cpu_millis,
            free_cpu_millis,
            view_age_ms,
            retry_after_ms,
        } => {
            info!(target: DECISION, job:%, request_id:%, queue:%, is_new, wait_ms, rate_cpu_millis,
            chain_ms, left_ms, error_ms, ahead_cpu_millis, free_cpu_millis, view_age_ms, retry_after_ms;
            "job_denied")
        }
        SchedulerDecision::ForecastSeen {
            job,
            queue,
            forecast_ms: said_ms,
            actual_ms: seen_ms,
        } => info!(target: DECISION, job:%, queue:%, said_ms, seen_ms; "forecast_seen"),
        SchedulerDecision::Abandoned {
            job,
            caller,
            runs,
            after_ms,
            has_begun,
        } => info!(target: DECISION, job:%, caller = caller.0, runs, after_ms, has_begun;
            "job_abandoned"),
        SchedulerDecision::CancelReceived {
            job,
            request_id,
            is_held,
            age_ms,
        } => info!(target: DECISION, job:%, request_id:%, is_held, age_ms; "cancel_received"),
        SchedulerDecision::CancelAnswered {
            job,
            request_id,
            outcome,
            holder,
            held_ms,
            sides,
            after_ms,
        } => {
            let holder = holder.as_ref().map(NodeName::as_str).unwrap_or_default();
            info!(target: DECISION, job:%, request_id:%, outcome:?, holder, held_ms, sides, after_ms;
                "cancel_answered");
        }
        SchedulerDecision::JobCancelled {
            job,
            request_id,
            by,
            side,
            runs,
            age_ms,
        } => {
            let side = side.as_ref().map(NodeName::as_str).unwrap_or_default();
            info!(target: DECISION, job:%, request_id:%, by:%, side, runs, age_ms; "job_cancelled");
        }
        SchedulerDecision::HallsDrained { drained, runs } => {
            let halls = drained.halls.iter().map(Hall::as_str);
            let halls = halls.collect::<Vec<_>>().join(",");
            warn!(target: DECISION, halls, revision = drained.revision, runs; "halls_drained");
        }
        SchedulerDecision::ShareWeights { weights } => {
            let halls = weights.halls.iter();
            let halls = halls.map(|(hall, weight)| format!("{hall}={weight}"));
            let halls = halls.collect::<Vec<_>>().join(",");
            info!(target: DECISION, halls, revision = weights.revision; "share_weights");
        }
        SchedulerDecision::SideJoined { side, kept, lost } => {
            info!(target: DECISION, side:%, kept, lost; "side_joined");
        }
        SchedulerDecision::HandshakeUnanswered { side, incarnation } => {
            info!(target: DECISION, side:%, incarnation = incarnation.0; "greeting_unanswered");
        }
        SchedulerDecision::SideLeft {
            side,
            was_silent,
            age_ms,
            runs,
        } => warn!(target: DECISION, side:%, was_silent, age_ms, runs; "side_left"),
    }
}
