//! Shares of halls: the weights that operators have set, and whether they count.

use std::sync::Arc;
use std::time::Duration;

use super::SchedulerDecision;
use super::job_scheduler::JobScheduler;
use crate::job::ShareWeights;
use crate::types::Moment;

/// So long after the last job of a ranked queue sides still share by halls: ranked jobs come every second where they
/// come at all.
const RANKED_FOR: Duration = Duration::from_secs(60);

impl JobScheduler {
    /// Takes the weights of halls; what is older changes nothing. Sides hear of them with the next heartbeat.
    pub(super) fn update_share_weights(&mut self, weights: &Arc<ShareWeights>) {
        if !weights.is_newer_than(&self.weights) {
            return;
        }
        self.weights = Arc::clone(weights);
        let weights = Arc::clone(weights);
        self.record_decision(SchedulerDecision::ShareWeights { weights });
    }

    /// The weights of halls, as far as they are known here.
    pub fn share_weights(&self) -> &ShareWeights {
        &self.weights
    }

    /// A job is handed in to a ranked queue.
    pub(super) fn record_ranked_job(&mut self, now: Moment) {
        self.last_ranked_submission = Some(now);
    }

    /// Whether sides are to share room that is short between halls.
    pub(super) fn shares_capacity(&self) -> bool {
        let is_ranked = self
            .last_ranked_submission
            .is_some_and(|at| self.last_event_at.since(at) <= RANKED_FOR);
        self.settings.scarcity.shares && is_ranked
    }
}
