use std::collections::VecDeque;
use std::time::Duration;

use crate::job::{CrashedRun, TargetId, TargetProfile};
use crate::types::Moment;

/// So many ended lives of a target are remembered: a report of one of them may still be under way, behind a cut that lasts
/// for seconds, and a target that goes down and up by turns has a life every few seconds.
const MAX_ENDED: usize = 16;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// The target and its room.
    pub profile: TargetProfile,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Rises with each report of one life.
    pub number: u64,
    /// For how long it is still slower than usual, after its start or a time without work.
    pub cold_for: Duration,
}

/// A report of another life than the known one; only the target itself can say which of them is over.
#[derive(Clone, Debug)]
pub(crate) struct OtherLife {
    pub(crate) report: TargetReport,
    /// When the first such report came.
    pub(crate) since: Moment,
}

/// Which lives of the target have ended, and what may be its next one.
///
/// A report may come late, after its sender has crashed and another life has reported from the same
/// address. Taking it for the newest life would count all that runs there as lost, and start it twice.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetLives {
    ended: VecDeque<TargetId>,
    pub(crate) other: Option<OtherLife>,
    /// What ran on the known life when it fell silent and is over since. Silence alone is no crash.
    pub(crate) lost_in_silence: Vec<CrashedRun>,
    /// The highest number of a report of the known life.
    newest_number: u64,
}

impl TargetLives {
    /// Whether a life is known to be over.
    pub(crate) fn has_ended(&self, target: &TargetId) -> bool {
        self.ended.contains(target)
    }

    /// No life is known any more; the next one counts its reports from the beginning.
    pub(crate) fn forget_known(&mut self) {
        self.newest_number = 0;
        self.lost_in_silence.clear();
    }

    /// A life is over, by its own word or that of its successor. A target that refuses connections for a
    /// while may still be the same one.
    pub(crate) fn end(&mut self, target: TargetId) {
        if self.has_ended(&target) {
            return;
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(target);
    }

    /// Takes the number of a report of the known life; returns whether it is newer than those before.
    pub(crate) fn take_number(&mut self, number: u64) -> bool {
        let is_newer = number >= self.newest_number;
        self.newest_number = self.newest_number.max(number);
        is_newer
    }

    /// A life that may be the next one has reported.
    pub(crate) fn note_other(&mut self, now: Moment, report: TargetReport) {
        let known = self.other.take();
        let same = known.filter(|known| known.report.profile.id == report.profile.id);
        if let Some(known) = same.as_ref()
            && known.report.number > report.number
        {
            self.other = same;
            return;
        }
        let since = same.map_or(now, |known| known.since);
        self.other = Some(OtherLife { report, since });
    }

    /// The known life has answered a look that was sent at this time: what another life reported before came
    /// late. A life that is really the next one reports again.
    pub(crate) fn known_answered(&mut self, sent: Moment) -> Option<TargetId> {
        self.lost_in_silence.clear();
        let late = self.other.take_if(|other| sent >= other.since)?;
        Some(late.report.profile.id)
    }
}
