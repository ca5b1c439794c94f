//! What processes and targets must not do, or need not do: tests see that the audit notices, or that it makes no difference.

use super::job_system::JobSystem;

impl JobSystem {
    /// Lets the processes read a clock that stands still while their VM is suspended: what they must not do.
    pub fn use_steady_clocks(&mut self) {
        self.has_steady_clocks = true;
    }

    /// Lets the sides go by the room that targets have at first: what they must not do.
    pub fn hide_resizes(&mut self) {
        self.hides_resizes = true;
    }

    /// Lets targets start whatever they are told: their room is kept by their sides alone.
    pub fn unguard_targets(&mut self) {
        self.has_unguarded_targets = true;
    }
}
