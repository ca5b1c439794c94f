//! Shares of halls: the weights that operators have set, and whether they are applied.

use std::sync::Arc;
use std::time::Duration;

use super::SchedulerDecision;
use super::job_scheduler::JobScheduler;
use crate::job::ShareWeights;
use crate::types::Moment;

/// Time after the last job of a ranked queue during which sides still divide capacity by halls. Deployments with ranked
/// queues have such jobs every second.
const RANKED_TIMEOUT: Duration = Duration::from_secs(60);

impl JobScheduler {
    /// Applies the weights of halls; an older set is ignored. Sides receive the weights with the next heartbeat.
    pub(super) fn update_share_weights(&mut self, weights: &Arc<ShareWeights>) {
        if !weights.is_newer_than(&self.weights) {
            return;
        }
        self.weights = Arc::clone(weights);
        let weights = Arc::clone(weights);
        self.record_decision(SchedulerDecision::ShareWeights { weights });
    }

    /// Returns the weights of halls that are known to this entry.
    pub fn share_weights(&self) -> &ShareWeights {
        &self.weights
    }

    /// Records the submission of a job to a ranked queue.
    pub(super) fn record_ranked_job(&mut self, now: Moment) {
        self.last_ranked_submission = Some(now);
    }

    /// Returns whether sides should divide scarce capacity between halls.
    pub(super) fn shares_capacity(&self) -> bool {
        let is_ranked = self
            .last_ranked_submission
            .is_some_and(|at| self.last_event_at.since(at) <= RANKED_TIMEOUT);
        self.settings.scarcity.shares && is_ranked
    }
}
