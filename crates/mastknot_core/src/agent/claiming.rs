//! Claims of jobs. A claim decides which entry may start a job that was submitted to several
//! entries.

use super::job_claims::GrantedClaim;
use super::owners::OwnerKey;
use super::target_agent::TargetAgent;
use super::{AgentDecision, SessionId};
use crate::job::{ClaimAnswer, JobClaim, JobId, SideReport};
use crate::types::Moment;

impl TargetAgent {
    pub(super) fn claim(
        &mut self,
        now: Moment,
        session: SessionId,
        key: &OwnerKey,
        claim: &JobClaim,
    ) {
        if self.refuse_cancelled(now, session, key, claim) {
            return;
        }
        let job = claim.job;
        if !claim.is_reclaim && !self.grace.is_over() && !self.claims.is_claimed(job) {
            self.grace.keep(session, key, claim);
            return;
        }
        let answer = self.claims.ask(now, key, claim);
        if let ClaimAnswer::Held { by } = &answer {
            self.record_decision(AgentDecision::ClaimWaits {
                job,
                entry: key.entry.clone(),
                holder: by.clone(),
            });
        }
        self.send(session, SideReport::Claim { job, answer });
    }

    pub(super) fn release_claim(&mut self, now: Moment, key: &OwnerKey, job: JobId) {
        self.grace.release(key, job);
        if let Some(granted) = self.claims.release(now, key, job) {
            self.send_granted(now, granted);
        }
    }

    /// Shortens the claims of an entry whose link was closed. Unless the entry is alive and claims
    /// its jobs again, none of its runs continues for longer than this time.
    pub(super) fn shorten_claims(&mut self, now: Moment, key: &OwnerKey) {
        let until = now + self.settings.terms.run_over_after;
        self.claims.shorten(key, until);
    }

    pub(super) fn end_claims(&mut self, now: Moment) {
        for granted in self.claims.end_expired(now) {
            self.send_granted(now, granted);
        }
    }

    /// Returns the number of jobs that are claimed on this side.
    pub fn claimed_jobs(&self) -> usize {
        self.claims.len()
    }

    fn send_granted(&mut self, now: Moment, granted: GrantedClaim) {
        let job = granted.job;
        let owner = self.owners.get(&granted.owner);
        let Some(session) = owner.and_then(|owner| owner.session) else {
            self.release_claim(now, &granted.owner, job);
            return;
        };
        let answer = ClaimAnswer::Granted;
        self.send(session, SideReport::Claim { job, answer });
    }
}
