use crate::types::{Moment, NodeName};

/// Answer of a side to the claim of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimPhase {
    /// The side has not answered yet.
    Asked,
    /// Another entry holds the job at the side.
    Held,
    /// The side grants the job to this entry.
    Granted,
    /// The job was cancelled, and the side grants it to no entry.
    Cancelled,
}

/// State of a claim at one side, which was asked over its current link.
#[derive(Clone, Debug)]
pub(crate) struct AskedSide {
    pub(crate) name: NodeName,
    pub(crate) phase: ClaimPhase,
    /// Time at which the side's answer is overdue or the claim has to be renewed.
    pub(crate) due: Moment,
    /// Time at which the claim that was last sent has to be renewed.
    pub(crate) renewal: Moment,
}

/// Claim of this entry on a job, at the sides that were asked.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimState {
    /// Sides in the order in which they were asked.
    pub(crate) asked: Vec<AskedSide>,
    /// Whether this entry holds the job: all sides that had to be asked have granted it, and there has been at least
    /// one grant at any time since.
    pub(crate) is_granted: bool,
    /// Whether this entry has held the job at any time.
    pub(crate) was_granted: bool,
    /// Whether another entry has held the job since it was granted to this entry.
    pub(crate) is_lost: bool,
    /// Whether another entry has held the job since it was submitted here, so that it may have run there.
    pub(crate) was_held_elsewhere: bool,
    /// Time before which no side is asked, because the entry that holds the job claims it at other sides until then.
    pub(crate) not_before: Option<Moment>,
    /// Time at which the claim next has to be renewed or checked.
    pub(crate) due: Option<Moment>,
}

impl ClaimState {
    /// Returns a claim that is granted without asking any side.
    pub(crate) fn granted() -> Self {
        Self {
            is_granted: true,
            ..Self::default()
        }
    }

    /// Returns whether a side that has lost all its claims should grant the job to this entry before others.
    pub(crate) fn is_reclaim(&self) -> bool {
        self.was_granted && !self.is_lost
    }

    /// Returns the answer of a side; `None` if it was not asked.
    pub(crate) fn phase_at(&self, side: &NodeName) -> Option<ClaimPhase> {
        let asked = self.asked.iter().find(|asked| asked.name == *side);
        asked.map(|asked| asked.phase)
    }

    /// Returns the state of the claim at a side, if the side was asked.
    pub(crate) fn asked_mut(&mut self, side: &NodeName) -> Option<&mut AskedSide> {
        self.asked.iter_mut().find(|asked| asked.name == *side)
    }

    /// Removes a side from the sides that were asked, and returns its answer.
    pub(crate) fn forget(&mut self, side: &NodeName) -> Option<ClaimPhase> {
        let index = self.asked.iter().position(|asked| asked.name == *side)?;
        Some(self.asked.remove(index).phase)
    }

    /// Returns whether a side grants the job to this entry.
    pub(crate) fn has_grant(&self) -> bool {
        let mut asked = self.asked.iter();
        asked.any(|asked| asked.phase == ClaimPhase::Granted)
    }

    /// Returns the earliest time at which an answer is overdue, a renewal is due, or sides may be asked again.
    pub(crate) fn next_due(&self) -> Option<Moment> {
        let asked = self.asked.iter().map(|asked| asked.due);
        asked.chain(self.not_before).min()
    }
}
