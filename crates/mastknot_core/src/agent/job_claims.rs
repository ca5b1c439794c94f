use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::owners::OwnerKey;
use crate::job::{ClaimAnswer, JobClaim, JobId};
use crate::types::Moment;

/// Entry that waits until the claim of another entry ends.
#[derive(Clone, Debug)]
struct Waiter {
    owner: OwnerKey,
    term: Duration,
}

/// Claim of one entry on a job.
#[derive(Clone, Debug)]
struct Claim {
    holder: OwnerKey,
    /// Time at which the job was granted to the holder.
    since: Moment,
    until: Moment,
    /// Other entries that have asked for the job since, in the order of their requests.
    waiting: VecDeque<Waiter>,
}

/// Claim that was granted to an entry that had waited for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GrantedClaim {
    pub(super) job: JobId,
    pub(super) owner: OwnerKey,
}

/// Claims of jobs. A claim decides which entry may start a job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobClaims {
    claims: HashMap<JobId, Claim>,
    ends: BTreeSet<(Moment, JobId)>,
}

impl JobClaims {
    /// Grants a job to the first entry that asks for it, or renews the claim of its holder. Other
    /// entries wait.
    pub(super) fn ask(&mut self, now: Moment, owner: &OwnerKey, asked: &JobClaim) -> ClaimAnswer {
        let job = asked.job;
        let held = self.claims.get_mut(&job);
        let Some(claim) = held.filter(|claim| claim.holder != *owner && claim.until > now) else {
            self.hold(now, job, owner, now + asked.term());
            return ClaimAnswer::Granted;
        };
        claim.waiting.retain(|waiter| waiter.owner != *owner);
        claim.waiting.push_back(Waiter {
            owner: owner.clone(),
            term: asked.term(),
        });
        let by = claim.holder.entry.clone();
        ClaimAnswer::Held { by }
    }

    /// Releases the claim of an entry that no longer needs the job; returns the claim that is
    /// granted next.
    pub(super) fn release(
        &mut self,
        now: Moment,
        owner: &OwnerKey,
        job: JobId,
    ) -> Option<GrantedClaim> {
        let claim = self.claims.get_mut(&job)?;
        if claim.holder == *owner {
            return self.pass_on(now, job);
        }
        claim.waiting.retain(|waiter| waiter.owner != *owner);
        None
    }

    /// Shortens the claims of an entry whose link was closed, and removes the entry from all queues
    /// of waiting entries. The claims end at `until` unless the entry claims the jobs again.
    pub(super) fn shorten(&mut self, owner: &OwnerKey, until: Moment) {
        let mut held = Vec::new();
        for (job, claim) in &mut self.claims {
            claim.waiting.retain(|waiter| waiter.owner != *owner);
            if claim.holder == *owner && claim.until > until {
                held.push(*job);
            }
        }
        for job in held {
            self.set_end(job, until);
        }
    }

    /// Ends expired claims; returns the claims that are granted in their place.
    pub(super) fn end_expired(&mut self, now: Moment) -> Vec<GrantedClaim> {
        let mut granted = Vec::new();
        while let Some((until, job)) = self.ends.first().copied() {
            if until > now {
                break;
            }
            granted.extend(self.pass_on(now, job));
        }
        granted
    }

    /// Returns the time at which the first claim ends for which another entry waits.
    pub(super) fn due(&self) -> Option<Moment> {
        let awaited = self.claims.values();
        let awaited = awaited.filter(|claim| !claim.waiting.is_empty());
        awaited.map(|claim| claim.until).min()
    }

    /// Returns whether any entry has claimed a job.
    pub(super) fn is_claimed(&self, job: JobId) -> bool {
        self.claims.contains_key(&job)
    }

    /// Returns the entry that holds the claim of a job.
    pub(super) fn holder(&self, job: JobId) -> Option<&OwnerKey> {
        self.claims.get(&job).map(|claim| &claim.holder)
    }

    /// Returns the time for which the holder of a job's claim has held it.
    pub(super) fn held_for(&self, now: Moment, job: JobId) -> Duration {
        let claim = self.claims.get(&job);
        claim.map_or(Duration::ZERO, |claim| now.since(claim.since))
    }

    /// Returns the time at which the claim of a job ends.
    pub(super) fn end(&self, job: JobId) -> Option<Moment> {
        self.claims.get(&job).map(|claim| claim.until)
    }

    /// Removes the entries that wait for a job and returns them. The holder keeps its claim.
    pub(super) fn end_waiting(&mut self, job: JobId) -> Vec<OwnerKey> {
        let Some(claim) = self.claims.get_mut(&job) else {
            return Vec::new();
        };
        let waiting = claim.waiting.drain(..);
        waiting.map(|waiter| waiter.owner).collect()
    }

    /// Returns the number of claimed jobs.
    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Ends the claim of the current holder and grants the job to the entry that has waited
    /// longest.
    fn pass_on(&mut self, now: Moment, job: JobId) -> Option<GrantedClaim> {
        let mut claim = self.claims.remove(&job)?;
        self.ends.remove(&(claim.until, job));
        let next = claim.waiting.pop_front()?;
        claim.holder = next.owner.clone();
        claim.since = now;
        claim.until = now + next.term;
        self.ends.insert((claim.until, job));
        self.claims.insert(job, claim);
        let owner = next.owner;
        Some(GrantedClaim { job, owner })
    }

    /// Makes an entry the holder of a job until `until` or the end of the present claim, whichever
    /// is later. Waiting entries keep their places.
    fn hold(&mut self, now: Moment, job: JobId, owner: &OwnerKey, until: Moment) {
        let Some(claim) = self.claims.get_mut(&job) else {
            let claim = Claim {
                holder: owner.clone(),
                since: now,
                until,
                waiting: VecDeque::new(),
            };
            self.claims.insert(job, claim);
            self.ends.insert((until, job));
            return;
        };
        if claim.holder != *owner {
            claim.holder = owner.clone();
            claim.since = now;
        }
        let until = until.max(claim.until);
        self.set_end(job, until);
    }

    fn set_end(&mut self, job: JobId, until: Moment) {
        let Some(claim) = self.claims.get_mut(&job) else {
            return;
        };
        self.ends.remove(&(claim.until, job));
        claim.until = until;
        self.ends.insert((until, job));
    }
}
