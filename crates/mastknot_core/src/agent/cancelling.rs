//! Cancels of jobs. A side notifies the entries that have a cancelled job or wait for it, and grants the job to nobody
//! for as long as a request that submits it may be in transit.

use super::owners::{Owner, OwnerKey};
use super::target_agent::TargetAgent;
use super::{AgentDecision, SessionId};
use crate::job::{CancelAnswer, ClaimAnswer, JobCancel, JobClaim, JobId, SideReport};
use crate::types::{Moment, NodeName};

impl TargetAgent {
    pub(super) fn cancel_job(
        &mut self,
        now: Moment,
        session: SessionId,
        key: &OwnerKey,
        cancel: &JobCancel,
    ) {
        let job = cancel.job;
        let waiting = self.claims.end_waiting(job);
        let early = self.grace.remove_claims(job);
        let holder = self.claims.holder(job).cloned();
        let claim_left = self.claims.end(job).map(|until| until.since(now));
        let term = cancel.term().max(claim_left.unwrap_or_default());
        let cancelled = self.cancelled.remember(now, job, &key.entry, term);
        cancelled.was_found |= holder.is_some() || !early.is_empty();
        let by = cancelled.by.clone();
        self.record_decision(AgentDecision::JobCancelled {
            job,
            entry: key.entry.clone(),
            holder: holder.as_ref().map(|holder| holder.entry.clone()),
            waiting: waiting.len() + early.len(),
        });
        let notified = holder.into_iter().chain(waiting).chain(early);
        for owner in notified.filter(|owner| owner != key) {
            self.notify_cancelled(&owner, job, &by);
        }
        match self.grace.is_over() {
            true => self.answer_cancel(now, session, job),
            false => self.grace.keep_cancel(session, key, job),
        }
    }

    /// Answers a cancel by the claims that are known now.
    pub(super) fn answer_cancel(&mut self, now: Moment, session: SessionId, job: JobId) {
        let answer = self.cancel_answer(now, session, job);
        self.send(session, SideReport::Cancel { job, answer });
    }

    fn cancel_answer(&self, now: Moment, session: SessionId, job: JobId) -> CancelAnswer {
        let was_found = self
            .cancelled
            .get(job)
            .is_some_and(|cancelled| cancelled.was_found);
        match self.claims.holder(job) {
            Some(key) if !self.can_notify(key) && self.sessions.get(&session) != Some(key) => {
                let holder = key.entry.clone();
                CancelAnswer::Unreached { holder }
            }
            Some(key) => CancelAnswer::Found {
                holder: Some(key.entry.clone()),
                held_ms: self.claims.held_for(now, job).as_millis() as u64,
            },
            None if was_found => CancelAnswer::Found {
                holder: None,
                held_ms: 0,
            },
            None => CancelAnswer::NotFound,
        }
    }

    /// Returns whether an entry is notified of a cancel: on its present link, or on the next one, on which it claims its
    /// jobs again.
    fn can_notify(&self, key: &OwnerKey) -> bool {
        let owner = self.owners.get(key);
        owner.is_none_or(|owner| owner.session.is_none() || owner.features.has_cancels())
    }

    fn notify_cancelled(&mut self, key: &OwnerKey, job: JobId, by: &NodeName) {
        let owner = self.owners.get(key);
        let owner = owner.filter(|owner| owner.features.has_cancels());
        if let Some(session) = owner.and_then(|owner| owner.session) {
            let answer = ClaimAnswer::Cancelled { by: by.clone() };
            self.send(session, SideReport::Claim { job, answer });
        }
    }

    /// Answers the claim of a cancelled job; returns false if the job is not cancelled.
    ///
    /// An entry that can't read this answer waits for the job until its caller leaves.
    pub(super) fn refuse_cancelled(
        &mut self,
        now: Moment,
        session: SessionId,
        key: &OwnerKey,
        claim: &JobClaim,
    ) -> bool {
        self.cancelled.record_claim(claim.term());
        let Some(by) = self.cancelled.refuse(now, claim.job, claim.term()) else {
            return false;
        };
        let owner = self.owners.get(key);
        let has_cancels = owner.is_some_and(|owner: &Owner| owner.features.has_cancels());
        let answer = match has_cancels {
            true => ClaimAnswer::Cancelled { by },
            false => ClaimAnswer::Held { by },
        };
        let job = claim.job;
        self.send(session, SideReport::Claim { job, answer });
        true
    }

    /// Returns the number of cancelled jobs that are remembered.
    pub fn cancelled_jobs(&self) -> usize {
        self.cancelled.len()
    }

    /// Returns the number of cancelled jobs that were forgotten too early, because too many were cancelled.
    pub fn cancelled_jobs_dropped(&self) -> u64 {
        self.cancelled.dropped()
    }
}
