//! What targets have said of themselves, in the store: a side that starts asks it.

use mastknot_core::agent::AgentEvent;
use mastknot_core::job::TargetProfile;

use super::act::Act;
use super::job_system::{JobSystem, MILLI};

/// How long a call takes, in microseconds.
const CALL_TIME: u64 = 5 * MILLI;
/// How long a side waits after a call that failed, in microseconds.
const RETRY_PAUSE: u64 = 500 * MILLI;

impl JobSystem {
    /// A side has heard from its target.
    pub(super) fn remember_target(&mut self, side: usize, profile: TargetProfile) {
        if self.is_store_reachable {
            self.remembered_targets.insert(side, profile);
        }
    }

    /// A side that has just started asks the store.
    pub(super) fn ask_for_target(&mut self, side: usize) {
        let life = self.sides[side].life;
        self.later(CALL_TIME, Act::TargetRecalled { side, life });
    }

    /// A side has the store's answer, or none.
    pub(super) fn target_recalled(&mut self, side: usize, life: u64) {
        if self.sides[side].life != life {
            return;
        }
        if !self.is_store_reachable {
            self.later(RETRY_PAUSE, Act::TargetRecalled { side, life });
            return;
        }
        if let Some(profile) = self.remembered_targets.get(&side).cloned() {
            self.step_side(side, AgentEvent::TargetRemembered(profile));
        }
    }
}
