//! A side that has just started has forgotten which entries had claimed jobs: those claim them again before others may.

use super::dial_order::DialOrder;
use super::owners::OwnerKey;
use super::target_agent::TargetAgent;
use super::{AgentDecision, SessionId};
use crate::job::{JobClaim, JobId, SideReport};
use crate::types::{Moment, NodeName};

/// The claim of a job that the entry was not granted before, which came too early.
#[derive(Clone, Debug)]
struct EarlyClaim {
    session: SessionId,
    owner: OwnerKey,
    claim: JobClaim,
}

/// Whether claims of new jobs are granted yet.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimGrace {
    is_over: bool,
    early: Vec<EarlyClaim>,
}

impl ClaimGrace {
    /// Whether claims of new jobs are granted.
    pub(super) fn is_over(&self) -> bool {
        self.is_over
    }

    /// Keeps a claim for later.
    pub(super) fn keep(&mut self, session: SessionId, owner: &OwnerKey, claim: &JobClaim) {
        self.early.push(EarlyClaim {
            session,
            owner: owner.clone(),
            claim: *claim,
        });
    }

    /// An entry needs a job no more.
    pub(super) fn release(&mut self, owner: &OwnerKey, job: JobId) {
        self.early
            .retain(|early| early.owner != *owner || early.claim.job != job);
    }
}

impl TargetAgent {
    /// Ends the grace once the entries that are likely to use this side have claimed what they had, or are silent.
    pub(super) fn end_grace(&mut self, now: Moment) {
        if self.grace.is_over || !self.is_grace_over(now) {
            return;
        }
        self.grace.is_over = true;
        let early = std::mem::take(&mut self.grace.early);
        let early_claims = early.len();
        self.decided(AgentDecision::ClaimGraceEnded { early_claims });
        let resumed = self.owners.values().filter(|owner| owner.is_resumed);
        let resumed: Vec<SessionId> = resumed.filter_map(|owner| owner.session).collect();
        for session in resumed {
            self.send(session, SideReport::TakesClaims);
        }
        for early in early {
            if self.sessions.get(&early.session) == Some(&early.owner) {
                self.claim(now, early.session, &early.owner, &early.claim);
            }
        }
    }

    fn is_grace_over(&self, now: Moment) -> bool {
        if self.grace_ends().is_some_and(|end| now >= end) {
            return true;
        }
        let likely = DialOrder::new(&self.settings.side, &self.entries).at_once;
        let mut names = likely.iter().map(|entry| &entry.name);
        !likely.is_empty() && names.all(|name| self.has_heard_from(name))
    }

    /// Whether an entry has read which runs go on here: what it claims again it claims before it says so.
    fn has_heard_from(&self, entry: &NodeName) -> bool {
        let mut owners = self.owners.iter();
        owners.any(|(key, owner)| key.entry == *entry && owner.has_read_resume())
    }

    /// An entry that has said nothing by then is silent: its link is given up.
    fn grace_ends(&self) -> Option<Moment> {
        Some(self.settled? + self.settings.terms.silence)
    }

    /// When the grace ends at the latest.
    pub(super) fn grace_due(&self) -> Option<Moment> {
        self.grace_ends().filter(|_| !self.grace.is_over)
    }
}
