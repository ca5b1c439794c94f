use std::collections::VecDeque;
use std::time::Duration;

use crate::job::{CrashedRun, TargetId, TargetProfile};
use crate::types::Moment;

/// Number of ended incarnations of a target that are remembered. A report of one of them may still
/// be in transit after a partition of several seconds, and a target that crashes repeatedly has a
/// new incarnation every few seconds.
const MAX_ENDED: usize = 16;

/// Report of a target about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Identity and capacity of the target.
    pub profile: TargetProfile,
    /// Whether the target is shutting down.
    pub is_draining: bool,
    /// Number that rises with each report of one incarnation.
    pub number: u64,
    /// Time for which the target is still slower than usual, after its start or after a time
    /// without work.
    pub cold_for: Duration,
}

/// Report of another incarnation than the known one. Only the target itself can show which of them
/// has ended.
#[derive(Clone, Debug)]
pub(crate) struct OtherIncarnation {
    pub(crate) report: TargetReport,
    /// Time at which the first such report arrived.
    pub(crate) since: Moment,
}

/// Incarnations of the target that have ended, and the one that may be the next.
///
/// A report may arrive late, after its sender has crashed and another incarnation has reported from
/// the same address. If such a report were taken as that of the newest incarnation, all runs there
/// would count as lost and would be started twice.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetIncarnations {
    ended: VecDeque<TargetId>,
    pub(crate) other: Option<OtherIncarnation>,
    /// Runs of the known incarnation that have ended since because it became silent. Silence alone
    /// does not prove a crash.
    pub(crate) lost_in_silence: Vec<CrashedRun>,
    /// Highest number of a report of the known incarnation.
    newest_number: u64,
}

impl TargetIncarnations {
    /// Returns whether an incarnation is known to have ended.
    pub(crate) fn has_ended(&self, target: &TargetId) -> bool {
        self.ended.contains(target)
    }

    /// Forgets the known incarnation. The next one numbers its reports from the beginning.
    pub(crate) fn forget_known(&mut self) {
        self.newest_number = 0;
        self.lost_in_silence.clear();
    }

    /// Records that an incarnation has ended, as it announced itself or as the answer of its
    /// successor shows. A target that only refuses connections may still be the same incarnation.
    pub(crate) fn end(&mut self, target: TargetId) {
        if self.has_ended(&target) {
            return;
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(target);
    }

    /// Records the number of a report of the known incarnation; returns whether no newer report has
    /// arrived before.
    pub(crate) fn take_number(&mut self, number: u64) -> bool {
        let is_newer = number >= self.newest_number;
        self.newest_number = self.newest_number.max(number);
        is_newer
    }

    /// Records the report of an incarnation that may be the next one.
    pub(crate) fn record_other(&mut self, now: Moment, report: TargetReport) {
        let known = self.other.take();
        let same = known.filter(|known| known.report.profile.id == report.profile.id);
        if let Some(known) = same.as_ref()
            && known.report.number > report.number
        {
            self.other = same;
            return;
        }
        let since = same.map_or(now, |known| known.since);
        self.other = Some(OtherIncarnation { report, since });
    }

    /// Drops the report of another incarnation if the known one has answered a probe that was sent
    /// at `sent`, after this report. The report was late, and an incarnation that is really the
    /// next one reports again. Returns the incarnation that was dropped.
    pub(crate) fn known_answered(&mut self, sent: Moment) -> Option<TargetId> {
        self.lost_in_silence.clear();
        let late = self.other.take_if(|other| sent >= other.since)?;
        Some(late.report.profile.id)
    }
}
