//! Maintenance of claims: renewals, lost and new links, releases.

use super::claim_state::ClaimPhase;
use super::claiming::SIDES_PER_CLAIM;
use super::job_scheduler::JobScheduler;
use super::{SchedulerEffect, SessionId};
use crate::job::{EntryOrder, JobId};
use crate::types::{Moment, NodeName};

impl JobScheduler {
    /// Extends the claim of a job whose deadline has changed. A claim that is not granted yet is renewed when it is
    /// due.
    pub(super) fn extend_claim(&mut self, now: Moment, id: JobId) {
        if !self.jobs.get(&id).is_some_and(|job| job.claim.is_granted) {
            return;
        }
        for (side, session) in self.claim_sessions(id) {
            self.send_claim(now, id, &side, session);
        }
        self.schedule_claim(id);
    }

    /// Returns the sides that were asked about a job, with their links.
    pub(super) fn claim_sessions(&self, id: JobId) -> Vec<(NodeName, SessionId)> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let asked = job.claim.asked.iter().map(|asked| &asked.name);
        let sessions =
            asked.filter_map(|name| Some((name.clone(), self.sides.get(name)?.session?)));
        sessions.collect()
    }

    /// Renews the claims of jobs that outlast them, and closes links on which a claim was not answered.
    pub(super) fn maintain_claims(&mut self, now: Moment) {
        self.end_wait_for_links(now);
        while let Some((due, id)) = self.claims_due.first().copied() {
            if due > now {
                return;
            }
            self.claims_due.pop_first();
            self.maintain_claim(now, id);
        }
    }

    fn maintain_claim(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.claim.due = None;
        job.claim.not_before.take_if(|until| *until <= now);
        let due = job.claim.asked.iter().filter(|asked| asked.due <= now);
        let due = due.map(|asked| (asked.name.clone(), asked.phase));
        let due: Vec<(NodeName, ClaimPhase)> = due.collect();
        for (side, phase) in due {
            let session = self.sides.get(&side).and_then(|side| side.session);
            match (phase, session) {
                (ClaimPhase::Asked, Some(session)) => self.close_unanswered_link(now, session),
                (_, Some(session)) => self.send_claim(now, id, &side, session),
                (_, None) => self.forget_claim_at(now, id, &side),
            }
        }
        self.claim_job(now, id);
        self.schedule_claim(id);
    }

    /// Closes a link on which a claim was not answered in time. A link on standby may be broken without any sign of it,
    /// so it is given up as soon as a link in use would be.
    fn close_unanswered_link(&mut self, now: Moment, session: SessionId) {
        self.counters.claims_unanswered += 1;
        self.counters.links_silent += 1;
        self.effects.push(SchedulerEffect::Close { session });
        self.drop_link(now, session, true);
    }

    /// Claims jobs at the next side after the link to one of their sides was lost.
    pub(super) fn reassign_claims(&mut self, now: Moment, side: &NodeName) {
        let retry_at = now + self.settings.terms.run_over_after;
        for id in self.jobs_asked_at(side) {
            let job = self.jobs.get_mut(&id);
            let Some(claim) = job.map(|job| &mut job.claim) else {
                continue;
            };
            let is_held_elsewhere =
                !claim.is_granted && claim.phase_at(side) == Some(ClaimPhase::Held);
            if is_held_elsewhere {
                // The entry that holds the job claims it at the next side now.
                claim.not_before = Some(retry_at);
            }
            self.forget_claim_at(now, id, side);
            self.claim_job(now, id);
            self.schedule_claim(id);
        }
    }

    fn jobs_asked_at(&self, side: &NodeName) -> Vec<JobId> {
        let jobs = self.jobs.iter();
        let asked = jobs.filter(|(_, job)| job.claim.phase_at(side).is_some());
        let mut asked: Vec<JobId> = asked.map(|(id, _)| *id).collect();
        asked.sort_unstable();
        asked
    }

    /// Discards a side's answer. Without any other grant nothing more of the job is started, but its runs go on.
    fn forget_claim_at(&mut self, now: Moment, id: JobId, side: &NodeName) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.claim.forget(side);
        if job.claim.is_granted && !job.claim.has_grant() {
            job.claim.is_granted = false;
            self.queue_job(now, id);
        }
    }

    /// Claims jobs at a newly linked side, if it is among their first sides by rank. Earlier answers of the side no
    /// longer count.
    pub(super) fn claim_at_new_link(&mut self, now: Moment, name: &NodeName) {
        self.await_other_links(now);
        for id in self.jobs_asked_at(name) {
            self.forget_claim_at(now, id, name);
        }
        self.claim_first_at(now, name);
        self.notify_new_link(now, name);
    }

    /// Claims jobs at a side, if it is among their first sides by rank.
    pub(super) fn claim_first_at(&mut self, now: Moment, name: &NodeName) {
        let jobs = self.jobs.keys().copied();
        let mut jobs: Vec<JobId> = jobs.filter(|id| self.is_among_first(*id, name)).collect();
        jobs.sort_unstable();
        for id in jobs {
            self.claim_job(now, id);
        }
    }

    fn is_among_first(&self, id: JobId, side: &NodeName) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let asked = job.claim.asked.iter();
        let before = asked.filter(|asked| self.ranks_before(id, &asked.name, side));
        before.count() < SIDES_PER_CLAIM
    }

    /// Records whether a side grants claims of jobs that this entry has not held before.
    pub(super) fn record_takes_claims(&mut self, side: &NodeName, takes_claims: bool) {
        if let Some(side) = self.sides.get_mut(side) {
            side.takes_claims = takes_claims;
        }
    }

    /// Claims each job at those of its sides that have not been asked yet.
    pub(super) fn claim_all_jobs(&mut self, now: Moment) {
        let mut jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        jobs.sort_unstable();
        for id in jobs {
            self.claim_job(now, id);
        }
    }

    /// Releases the claim of a job of which nothing runs any more, so that other entries may claim it.
    pub(super) fn release_claim(&mut self, now: Moment, id: JobId) {
        for (side, session) in self.claim_sessions(id) {
            // A side that does not know of a cancel would grant the job to an entry that waits for it.
            self.notify_side(now, id, &side, session);
            self.send(session, EntryOrder::ReleaseClaim(id));
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.claim.asked.clear();
        if let Some(due) = job.claim.due.take() {
            self.claims_due.remove(&(due, id));
        }
    }

    /// Schedules the next maintenance of a claim.
    pub(super) fn schedule_claim(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let due = job.claim.next_due();
        let before = std::mem::replace(&mut job.claim.due, due);
        if before == due {
            return;
        }
        if let Some(before) = before {
            self.claims_due.remove(&(before, id));
        }
        if let Some(due) = due {
            self.claims_due.insert((due, id));
        }
    }

    /// Returns the time at which the next claim has to be renewed, an answer is overdue, or the wait for lost links
    /// ends.
    pub(super) fn claims_due(&self) -> Option<Moment> {
        let due = self.claims_due.first().map(|(due, _)| *due);
        due.into_iter().chain(self.links_awaited_until).min()
    }
}
