use crate::types::{Moment, NodeName};

/// What a side has said to the claim of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimPhase {
    /// Nothing yet.
    Asked,
    /// Another entry has the job there.
    Held,
    /// It grants the job to this entry.
    Granted,
}

/// A side that was asked about a job, over the link that stands.
#[derive(Clone, Debug)]
pub(crate) struct AskedSide {
    pub(crate) name: NodeName,
    pub(crate) phase: ClaimPhase,
    /// When its answer is missed, or the claim is to be renewed.
    pub(crate) due: Moment,
    /// When what was asked for last is to be renewed.
    pub(crate) renewal: Moment,
}

/// The claim of an entry on a job, at the sides that were asked for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimState {
    /// In the order in which they were asked.
    pub(crate) asked: Vec<AskedSide>,
    /// Whether this entry has the job: all sides that were to be asked have granted it, and one grant is unbroken since.
    pub(crate) is_granted: bool,
    /// Whether it was granted before.
    pub(crate) was_granted: bool,
    /// Whether another entry has got the job since it was granted here.
    pub(crate) is_lost: bool,
    /// Whether another entry has had the job since it was handed in here: it may have run there.
    pub(crate) was_held_elsewhere: bool,
    /// No side is asked before: whoever has the job claims it elsewhere until then.
    pub(crate) not_before: Option<Moment>,
    /// When something of it is due.
    pub(crate) due: Option<Moment>,
}

impl ClaimState {
    /// A claim that needs nobody's word.
    pub(crate) fn granted() -> Self {
        Self {
            is_granted: true,
            ..Self::default()
        }
    }

    /// Whether a side that has forgotten all claims is to grant it to this entry before others.
    pub(crate) fn is_reclaim(&self) -> bool {
        self.was_granted && !self.is_lost
    }

    /// What this side has said; none if it was not asked.
    pub(crate) fn phase_at(&self, side: &NodeName) -> Option<ClaimPhase> {
        let asked = self.asked.iter().find(|asked| asked.name == *side);
        asked.map(|asked| asked.phase)
    }

    /// The claim at this side, if it was asked.
    pub(crate) fn asked_mut(&mut self, side: &NodeName) -> Option<&mut AskedSide> {
        self.asked.iter_mut().find(|asked| asked.name == *side)
    }

    /// Forgets that this side was asked; returns what it had said.
    pub(crate) fn forget(&mut self, side: &NodeName) -> Option<ClaimPhase> {
        let place = self.asked.iter().position(|asked| asked.name == *side)?;
        Some(self.asked.remove(place).phase)
    }

    /// Whether a side grants the job to this entry.
    pub(crate) fn has_grant(&self) -> bool {
        let mut asked = self.asked.iter();
        asked.any(|asked| asked.phase == ClaimPhase::Granted)
    }

    /// When a side is due, or may be asked again.
    pub(crate) fn next_due(&self) -> Option<Moment> {
        let asked = self.asked.iter().map(|asked| asked.due);
        asked.chain(self.not_before).min()
    }
}
