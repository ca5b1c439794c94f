//! Variants in which processes or targets behave wrongly, or differently without harm: tests verify that the
//! audit detects the first and that the others make no difference.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mastknot_core::agent::{AgentEvent, SessionId};
use mastknot_core::job::SideReport;

use super::job_system::JobSystem;

/// Naming of targets over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetNaming {
    /// Each incarnation has a name of its own.
    PerIncarnation,
    /// Targets keep their names and report when they started.
    KeptWithStartTime,
    /// Targets keep their names and do not report when they started, which is wrong.
    KeptWithoutStartTime,
    /// Targets keep their names, and a report with a lower number than the previous one counts as that of a
    /// new incarnation, which is wrong in a side.
    KeptWithReportNumbers,
}

impl JobSystem {
    /// Makes targets that start from now on keep their names over restarts.
    pub fn keep_target_names(&mut self) {
        self.set_target_naming(TargetNaming::KeptWithStartTime);
    }

    /// Makes targets keep their names without a report of their start times, so that incarnations are distinguished
    /// by name alone.
    pub fn omit_start_times(&mut self) {
        self.set_target_naming(TargetNaming::KeptWithoutStartTime);
    }

    /// Makes targets keep their names, and incarnations be distinguished by the numbers of reports alone.
    pub fn infer_restarts_from_report_numbers(&mut self) {
        self.set_target_naming(TargetNaming::KeptWithReportNumbers);
    }

    /// Sends each grant of a side also to the next entry that receives a report from it, which sides must not
    /// do.
    pub fn duplicate_grants(&mut self) {
        self.repeated_grants = Some(HashMap::new());
    }

    /// Puts the last grant of the side into a report to an entry that contains none.
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

    /// Replaces the start time in a target's report by a value derived from the numbers of its reports.
    pub(super) fn distort_target_event(&mut self, side: usize, event: &mut AgentEvent) {
        if self.target_naming != TargetNaming::KeptWithReportNumbers {
            return;
        }
        if let AgentEvent::TargetReported(report) = event {
            let slot = &mut self.targets[side];
            slot.inferred_restarts += u64::from(report.number < slot.last_report_number);
            slot.last_report_number = report.number;
            report.profile.id.started_at_ms = 1 + slot.inferred_restarts;
        }
    }

    fn set_target_naming(&mut self, kept: TargetNaming) {
        self.target_naming = kept;
        for side in 0..self.targets.len() {
            let id = self.target_id(side);
            if let Some(target) = &mut self.targets[side].target {
                target.id = id;
            }
        }
    }

    /// Sets the maximum time for which targets hold their runs without a renewal.
    pub fn set_max_hold(&mut self, longest: Duration) {
        self.max_hold = longest;
        for slot in &mut self.targets {
            if let Some(target) = &mut slot.target {
                target.max_hold_ms = longest.as_millis() as u64;
            }
        }
    }

    /// Makes the processes read a clock that stops while their VM is suspended, which is wrong.
    pub fn use_clocks_stopped_by_suspension(&mut self) {
        self.clocks_stop_during_suspension = true;
    }

    /// Hides changes of the targets' capacity from their sides, which is wrong.
    pub fn hide_resizes(&mut self) {
        self.hides_resizes = true;
    }

    /// Makes targets start whatever their sides order, so that only the sides enforce the capacity.
    pub fn disable_target_capacity_checks(&mut self) {
        self.disables_capacity_checks = true;
    }

    /// Sets the speeds of targets in percent, assigned to the sides in turn. Each speed forms a class of
    /// targets.
    pub fn set_speeds(&mut self, percents: &[u64]) {
        self.speeds = percents.to_vec();
    }

    /// Returns the speed of a side's target in percent, and its class.
    pub(super) fn speed_of(&self, side: usize) -> Option<(u64, Arc<str>)> {
        let count = self.speeds.len();
        let percent = *self.speeds.get(side.checked_rem(count)?)?;
        Some((percent, Arc::from(format!("speed-{percent}"))))
    }
}
