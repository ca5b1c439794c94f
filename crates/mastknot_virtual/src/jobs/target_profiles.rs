//! Profiles of targets in the store, which a side that starts reads.

use mastknot_core::agent::AgentEvent;
use mastknot_core::job::TargetProfile;

use super::action::Action;
use super::job_system::{JobSystem, MILLI};

/// Duration of a call to the store, in microseconds.
const CALL_TIME: u64 = 5 * MILLI;
/// Time that a side waits after a failed call, in microseconds.
const RETRY_PAUSE: u64 = 500 * MILLI;

impl JobSystem {
    /// Stores the profile that a side has received from its target.
    pub(super) fn store_target_profile(&mut self, side: usize, profile: TargetProfile) {
        if self.is_store_reachable {
            self.stored_target_profiles.insert(side, profile);
        }
    }

    /// Schedules the answer of the store to a side that has just started.
    pub(super) fn request_target_profile(&mut self, side: usize) {
        let incarnation = self.sides[side].incarnation;
        self.schedule_in(CALL_TIME, Action::TargetProfileRead { side, incarnation });
    }

    /// Delivers the store's answer to a side, or schedules another call if the store is not reachable.
    pub(super) fn target_profile_read(&mut self, side: usize, incarnation: u64) {
        if self.sides[side].incarnation != incarnation {
            return;
        }
        if !self.is_store_reachable {
            self.schedule_in(RETRY_PAUSE, Action::TargetProfileRead { side, incarnation });
            return;
        }
        if let Some(profile) = self.stored_target_profiles.get(&side).cloned() {
            self.step_side(side, AgentEvent::TargetRemembered(profile));
        }
    }
}
