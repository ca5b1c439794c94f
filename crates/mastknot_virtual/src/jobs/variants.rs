//! What processes and targets must not do, or need not do: tests see that the audit notices, or that it makes no difference.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{AgentEvent, SessionId};
use mastknot_core::job::SideReport;

use super::job_system::JobSystem;

/// Whether targets start again under the names that they had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NamesKept {
    /// Each life has a name of its own.
    None,
    /// They do, and say when they started.
    WithBirths,
    /// They do, and say nothing of it: what they must not do.
    WithoutBirths,
    /// They do, and a report with a lower number than the one before counts as that of a new life: what sides must not do.
    ByNumbers,
}

impl JobSystem {
    /// Lets targets that start from now on keep their names over their lives.
    pub fn keep_target_names(&mut self) {
        self.keep_names(NamesKept::WithBirths);
    }

    /// Lets targets keep their names without saying when they started: lives are told apart by name alone.
    pub fn omit_start_times(&mut self) {
        self.keep_names(NamesKept::WithoutBirths);
    }

    /// Lets targets keep their names, and their lives be told apart by the numbers of their reports alone.
    pub fn infer_restarts_from_report_numbers(&mut self) {
        self.keep_names(NamesKept::ByNumbers);
    }

    /// Lets each grant of a side be told to the next entry that hears from it, too: what sides must not do.
    pub fn duplicate_grants(&mut self) {
        self.repeated_grants = Some(HashMap::new());
    }

    /// Puts the last grant of the side into a report to an entry that has none.
    pub(super) fn repeat_grant(&mut self, session: SessionId, report: &mut SideReport) {
        let Some((_, side)) = self.sessions.get(&session).copied() else {
            return;
        };
        let (Some(grants), SideReport::Status(status)) = (&mut self.repeated_grants, report) else {
            return;
        };
        if let Some(grant) = status.grant {
            grants.insert(side, grant);
        } else if let Some(grant) = grants.remove(&side) {
            status.free = status.free.with(&grant.capacity);
            status.grant = Some(grant);
        }
    }

    /// Takes the births out of what comes from a target, and puts in what its numbers tell.
    pub(super) fn bend_target_event(&mut self, side: usize, event: &mut AgentEvent) {
        if self.names_kept != NamesKept::ByNumbers {
            return;
        }
        if let AgentEvent::TargetReported(report) = event {
            let slot = &mut self.targets[side];
            slot.births += u64::from(report.number < slot.newest_number);
            slot.newest_number = report.number;
            report.profile.id.started_at_ms = 1 + slot.births;
        }
    }

    fn keep_names(&mut self, kept: NamesKept) {
        self.names_kept = kept;
        for side in 0..self.targets.len() {
            let id = self.target_id(side);
            if let Some(target) = &mut self.targets[side].target {
                target.id = id;
            }
        }
    }

    /// Lets targets hold their runs for as long as they are asked to, up to this.
    pub fn set_max_hold(&mut self, longest: Duration) {
        self.longest_hold = longest;
        for slot in &mut self.targets {
            if let Some(target) = &mut slot.target {
                target.longest_hold_ms = longest.as_millis() as u64;
            }
        }
    }

    /// Lets the processes read a clock that stands still while their VM is suspended: what they must not do.
    pub fn use_clocks_stopped_by_suspension(&mut self) {
        self.has_steady_clocks = true;
    }

    /// Lets the sides go by the room that targets have at first: what they must not do.
    pub fn hide_resizes(&mut self) {
        self.hides_resizes = true;
    }

    /// Lets targets start whatever they are told: their room is kept by their sides alone.
    pub fn disable_target_capacity_checks(&mut self) {
        self.has_unguarded_targets = true;
    }

    /// Lets targets differ in speed: the speeds in percent go to their sides in turn, and each is a class of its own.
    pub fn set_speeds(&mut self, percents: &[u64]) {
        self.speeds = percents.to_vec();
    }

    /// The speed of a side's target in percent, and its class.
    pub(super) fn speed_of(&self, side: usize) -> Option<(u64, Arc<str>)> {
        let count = self.speeds.len();
        let percent = *self.speeds.get(side.checked_rem(count)?)?;
        Some((percent, Arc::from(format!("speed-{percent}"))))
    }
}
