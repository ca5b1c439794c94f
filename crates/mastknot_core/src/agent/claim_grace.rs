//! Grace period for claims after the start of a side.
//!
//! A side that has just started does not know which entries had claimed jobs before. During the
//! grace period these entries repeat their claims; claims of other jobs are granted afterwards.

use super::dial_order::DialOrder;
use super::owners::OwnerKey;
use super::target_agent::TargetAgent;
use super::{AgentDecision, SessionId};
use crate::job::{JobClaim, JobId, SideReport};
use crate::types::{Moment, NodeName};

/// Claim that arrived during the grace period for a job that the entry did not hold before.
#[derive(Clone, Debug)]
struct EarlyClaim {
    session: SessionId,
    owner: OwnerKey,
    claim: JobClaim,
}

/// Cancel that arrived during the grace period, and is answered when it is known who has the job.
#[derive(Clone, Debug)]
struct EarlyCancel {
    session: SessionId,
    owner: OwnerKey,
    job: JobId,
}

/// State of the grace period, and the claims and cancels that wait for its end.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimGrace {
    is_over: bool,
    early: Vec<EarlyClaim>,
    early_cancels: Vec<EarlyCancel>,
}

impl ClaimGrace {
    /// Returns whether the grace period has ended, so that claims of new jobs are granted.
    pub(super) fn is_over(&self) -> bool {
        self.is_over
    }

    /// Keeps a claim until the grace period ends.
    pub(super) fn keep(&mut self, session: SessionId, owner: &OwnerKey, claim: &JobClaim) {
        self.early.push(EarlyClaim {
            session,
            owner: owner.clone(),
            claim: *claim,
        });
    }

    /// Keeps a cancel until the grace period ends.
    pub(super) fn keep_cancel(&mut self, session: SessionId, owner: &OwnerKey, job: JobId) {
        self.early_cancels.push(EarlyCancel {
            session,
            owner: owner.clone(),
            job,
        });
    }

    /// Removes the claims of a cancelled job; returns the entries that sent them.
    pub(super) fn remove_claims(&mut self, job: JobId) -> Vec<OwnerKey> {
        let removed = self.early.extract_if(.., |early| early.claim.job == job);
        removed.map(|early| early.owner).collect()
    }

    /// Removes the claim of an entry that no longer needs the job.
    pub(super) fn release(&mut self, owner: &OwnerKey, job: JobId) {
        self.early
            .retain(|early| early.owner != *owner || early.claim.job != job);
    }
}

impl TargetAgent {
    /// Ends the grace period once each entry that is likely to use this side has either repeated
    /// its claims or been silent for too long.
    pub(super) fn end_grace(&mut self, now: Moment) {
        if self.grace.is_over || !self.is_grace_over(now) {
            return;
        }
        self.grace.is_over = true;
        let early = std::mem::take(&mut self.grace.early);
        let early_claims = early.len();
        self.record_decision(AgentDecision::ClaimGraceEnded { early_claims });
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
        for early in std::mem::take(&mut self.grace.early_cancels) {
            if self.sessions.get(&early.session) == Some(&early.owner) {
                self.answer_cancel(now, early.session, early.job);
            }
        }
    }

    fn is_grace_over(&self, now: Moment) -> bool {
        if self.grace_ends().is_some_and(|end| now >= end) {
            return true;
        }
        let likely = DialOrder::new(&self.settings.side, &self.entries).at_once;
        let mut names = likely.iter().map(|entry| &entry.name);
        !likely.is_empty() && names.all(|name| self.has_confirmed_resume(name))
    }

    /// Returns whether an entry is known to have read which runs continue here. An entry repeats
    /// its claims before it confirms that it has read this.
    fn has_confirmed_resume(&self, entry: &NodeName) -> bool {
        let mut owners = self.owners.iter();
        owners.any(|(key, owner)| key.entry == *entry && owner.has_read_resume())
    }

    /// Returns the time at which the grace period ends at the latest. The link to an entry that has
    /// not answered by then is given up.
    fn grace_ends(&self) -> Option<Moment> {
        Some(self.settled_at? + self.settings.terms.silence)
    }

    /// Returns the end of the grace period, if it has not ended yet.
    pub(super) fn grace_due(&self) -> Option<Moment> {
        self.grace_ends().filter(|_| !self.grace.is_over)
    }
}
