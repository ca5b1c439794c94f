//! Log lines of a side's decisions.

use log::{debug, info, warn};
use mastknot_core::agent::AgentDecision;
use mastknot_core::job::{CrashedRun, EndOfRun, TargetCrash, TargetId};
use mastknot_core::types::NodeName;

/// Log target of the decision lines, by which they can be filtered.
const DECISION: &str = "decision";
/// Maximum number of runs that one line names. The youngest runs are named, because they are the
/// likely causes of a crash.
const MAX_NAMED: usize = 8;

/// Writes the log line of a decision; some frequent decisions are not logged or only at debug
/// level.
pub(super) fn log_decision(decision: &AgentDecision) {
    match decision {
        AgentDecision::TurnedAway {
            run,
            cause,
            free_cpu_millis,
        } => info!(target: DECISION, run:%, cause:?, free_cpu_millis; "turned_away"),
        AgentDecision::RunEnded { run, end, ran_ms } => log_end(run, *end, *ran_ms),
        AgentDecision::Stopping { run, end, percent } => {
            info!(target: DECISION, run:%, end:?, percent; "stopping");
        }
        AgentDecision::OrderUnanswered { run } => {
            warn!(target: DECISION, run:%; "order_unanswered");
        }
        AgentDecision::StopUnanswered {
            run,
            times,
            since_ms,
        } => log_unanswered_stop(run, *times, *since_ms),
        AgentDecision::Unclaimed { run, percent } => {
            warn!(target: DECISION, run:%, percent; "run_unclaimed");
        }
        AgentDecision::LeaseEnded {
            entry,
            cause,
            age_ms,
            runs,
        } => warn!(target: DECISION, entry:%, cause:?, age_ms, runs; "lease_ended"),
        AgentDecision::ClaimWaits { job, entry, holder } => {
            info!(target: DECISION, job:%, entry:%, holder:%; "claim_waits");
        }
        AgentDecision::JobCancelled {
            job,
            entry,
            holder,
            waiting,
        } => {
            let holder = holder.as_ref().map(NodeName::as_str).unwrap_or_default();
            info!(target: DECISION, job:%, entry:%, holder, waiting; "job_cancelled");
        }
        AgentDecision::ClaimGraceEnded { early_claims } => {
            info!(target: DECISION, early_claims; "claims_taken")
        }
        AgentDecision::EntryJoined { entry } => info!(target: DECISION, entry:%; "entry_joined"),
        // Offers, grants and queued starts occur many times a second under contention, so they are
        // logged at debug level. The entry's `task_placed` line reports the start that follows.
        AgentDecision::Offered {
            entry,
            hall,
            cpu_millis,
            rank,
            needed_cpu_millis,
        } => debug!(target: DECISION, entry:%, hall:%, cpu_millis, rank, needed_cpu_millis;
            "room_offered"),
        AgentDecision::Granted {
            entry,
            cpu_millis,
            is_standing,
        } => debug!(target: DECISION, entry:%, cpu_millis, is_standing; "room_granted"),
        AgentDecision::StartQueued {
            run,
            rank,
            may_wait_ms,
        } => debug!(target: DECISION, run:%, rank, may_wait_ms; "start_queued"),
        AgentDecision::QueuedStartServed { run, waited_ms } => {
            debug!(target: DECISION, run:%, waited_ms; "queued_start_served");
        }
        AgentDecision::ConditionChanged { target, condition } => {
            let target_id = target.as_ref().map(TargetId::to_string).unwrap_or_default();
            info!(target: DECISION, target_id, condition:?; "target_condition");
        }
        AgentDecision::HallDrained {
            is_drained,
            revision,
            runs,
        } => warn!(target: DECISION, is_drained, revision, runs; "hall_drained"),
        AgentDecision::ShareWeights { revision, halls } => {
            info!(target: DECISION, revision, halls; "share_weights");
        }
        AgentDecision::TargetCrashed(crash) => log_crash(crash),
        AgentDecision::TokenTaken { token, survivors } => {
            info!(target: DECISION, token, survivors; "fencing_token");
        }
        AgentDecision::LateReport { target } => {
            warn!(target: DECISION, target_id:% = target; "late_target_report");
        }
        AgentDecision::WrongProfile { target } => {
            warn!(target: DECISION, target_id:% = target; "wrong_target_profile");
        }
        AgentDecision::OtherIncarnation { target } => {
            info!(target: DECISION, target_id:% = target; "other_target_life");
        }
        AgentDecision::TargetRestarted { target, stopped } => {
            warn!(target: DECISION, target_id:% = target, stopped; "target_reborn");
        }
        AgentDecision::ProbeFailed { in_a_row } => {
            warn!(target: DECISION, in_a_row; "look_failed");
        }
    }
}

/// Logs an unanswered stop if the number of times that it was sent is a power of two, which bounds
/// the number of lines. The metrics count every one.
fn log_unanswered_stop(run: &mastknot_core::job::RunId, times: u32, since_ms: u64) {
    if times.is_power_of_two() {
        warn!(target: DECISION, run:%, times, since_ms; "stop_unanswered");
    }
}

/// Logs the end of a run that did not succeed.
///
/// Most runs are successful, and the entry logs the answers of their jobs.
fn log_end(run: &mastknot_core::job::RunId, end: EndOfRun, ran_ms: u32) {
    if end != EndOfRun::Done {
        info!(target: DECISION, run:%, end:?, ran_ms; "run_ended");
    }
}

/// Logs a crash of the target with its youngest runs.
fn log_crash(crash: &TargetCrash) {
    let was_silent = crash.was_silent;
    let target_id = &crash.target;
    let runs = crash.runs.len();
    let name = |crashed: &CrashedRun| format!("{} after {} ms", crashed.run, crashed.ran_ms);
    let youngest = crash.runs.iter().take(MAX_NAMED).map(name);
    let youngest = youngest.collect::<Vec<_>>().join(", ");
    warn!(target: DECISION, target_id:%, was_silent, runs, youngest = youngest.as_str();
        "target_crashed");
}
