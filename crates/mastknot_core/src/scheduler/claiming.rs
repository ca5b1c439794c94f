//! Claims of jobs. Each job is claimed at two sides before its first start, so that only one of two entries that
//! received the job runs it.
//!
//! A caller without an answer submits its job again to another entry. Its first request may still be in transit then,
//! or be handled by an entry that does not know that its caller has gone.
//!
//! Both sides are asked at once. An entry that waits at one of them holds no grant of a side that ranks after it, so no
//! two entries wait for each other.

use std::sync::Arc;

use super::claim_state::{AskedSide, ClaimPhase};
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use super::{SchedulerDecision, SessionId};
use crate::job::{ClaimAnswer, EntryOrder, JobAnswer, JobClaim, JobId};
use crate::types::{Moment, NodeName, mix_bits};

/// Rank of a side for a job. The linked sides with the lowest ranks are asked; all entries compute the same ranks.
pub(super) type ClaimRank<'a> = (u64, &'a NodeName);

/// Number of sides that are asked about a job. The second one preserves the claim during a fault of the first, or of
/// the link to it.
pub(super) const SIDES_PER_CLAIM: usize = 2;

fn claim_rank<'a>(job: JobId, name: &'a NodeName, side: &SideView) -> ClaimRank<'a> {
    (mix_bits(job.0 ^ mix_bits(u64::from(side.name_hash))), name)
}

/// A side that is linked, or whose link is expected to return.
struct RankedSide<'a> {
    rank: ClaimRank<'a>,
    /// Link to the side; `None` while the link is expected to return, or while the side grants no claims of new jobs.
    session: Option<SessionId>,
}

impl RankedSide<'_> {
    fn can_be_asked(&self) -> bool {
        self.session.is_some()
    }
}

/// Keeps as many sides as are asked about a job: those with the lowest keys, in ascending order.
fn take_first<'a, K: Ord>(sides: &mut Vec<RankedSide<'a>>, key: impl Fn(&RankedSide<'a>) -> K) {
    if sides.len() > SIDES_PER_CLAIM {
        sides.select_nth_unstable_by_key(SIDES_PER_CLAIM, &key);
        sides.truncate(SIDES_PER_CLAIM);
    }
    sides.sort_unstable_by_key(key);
}

/// A side that has to be asked about a job.
pub(super) struct SideToAsk {
    pub(super) name: NodeName,
    /// Link to the side; `None` while the side can't be asked.
    pub(super) session: Option<SessionId>,
}

impl SideToAsk {
    fn new(side: RankedSide<'_>) -> Self {
        Self {
            name: side.rank.1.clone(),
            session: side.session,
        }
    }

    /// Returns the name of the side and the link to it, if it can be asked.
    pub(super) fn linked(self) -> Option<(NodeName, SessionId)> {
        Some((self.name, self.session?))
    }
}

impl JobScheduler {
    /// Claims a job at those of its sides that have not been asked yet.
    pub(super) fn claim_job(&mut self, now: Moment, id: JobId) {
        let job = self.jobs.get(&id);
        let may_ask = job.is_some_and(|job| job.claim.not_before.is_none());
        if !self.settings.claims_jobs || !may_ask {
            return;
        }
        let sides = self.sides_to_ask(now, id);
        let mut is_granted = !sides.is_empty();
        for side in sides {
            let Some(job) = self.jobs.get(&id) else {
                return;
            };
            let phase = job.claim.phase_at(&side.name);
            is_granted &= phase == Some(ClaimPhase::Granted);
            if phase == Some(ClaimPhase::Held) && !job.claim.is_granted {
                break;
            }
            if let (None, Some(session)) = (phase, side.session) {
                self.ask_side(now, id, side.name, session);
            }
        }
        if is_granted {
            self.complete_claim(now, id);
        }
        self.schedule_claim(id);
    }

    /// Returns the sides at which to claim a job.
    fn sides_to_ask(&self, now: Moment, id: JobId) -> Vec<SideToAsk> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let (was_granted, is_reclaim) = (job.claim.was_granted, job.claim.is_reclaim());
        let takes_claim = |side: &SideView| is_reclaim || side.takes_claims;
        self.first_sides_that_answer(now, id, was_granted, takes_claim)
    }

    /// Returns the sides to ask about a job: the first by rank among those that are linked or expected to return.
    ///
    /// If at least one of them can be asked now, those that can't are replaced by the next ones that can: one side in
    /// common with the other entries is enough.
    pub(super) fn first_sides_that_answer(
        &self,
        now: Moment,
        id: JobId,
        was_granted: bool,
        can_ask: impl Fn(&SideView) -> bool,
    ) -> Vec<SideToAsk> {
        let mut sides = self.ranked_sides(now, id, was_granted, &can_ask);
        take_first(&mut sides, |side| side.rank);
        let can_ask_one = sides.iter().any(RankedSide::can_be_asked);
        if can_ask_one && !sides.iter().all(RankedSide::can_be_asked) {
            sides = self.ranked_sides(now, id, was_granted, &can_ask);
            take_first(&mut sides, |side| (!side.can_be_asked(), side.rank));
        }
        sides.into_iter().map(SideToAsk::new).collect()
    }

    /// Returns the first sides by rank among those that are linked or expected to return, whether or not they can be
    /// asked now.
    pub(super) fn first_sides(
        &self,
        now: Moment,
        id: JobId,
        can_ask: impl Fn(&SideView) -> bool,
    ) -> Vec<SideToAsk> {
        let mut sides = self.ranked_sides(now, id, false, &can_ask);
        take_first(&mut sides, |side| side.rank);
        sides.into_iter().map(SideToAsk::new).collect()
    }

    /// Returns the sides that are linked or expected to return, with their ranks for a job.
    fn ranked_sides(
        &self,
        now: Moment,
        id: JobId,
        was_granted: bool,
        can_ask: impl Fn(&SideView) -> bool,
    ) -> Vec<RankedSide<'_>> {
        let is_awaited = |side: &SideView| {
            side.awaited_until > now || (!was_granted && side.awaited_for_new_jobs_until > now)
        };
        let sides = self.sides.iter();
        let sides = sides.filter(|(_, side)| side.is_resumed || is_awaited(side));
        let ranked = sides.map(|(name, side)| RankedSide {
            rank: claim_rank(id, name, side),
            session: side.session.filter(|_| side.is_resumed && can_ask(side)),
        });
        ranked.collect()
    }

    fn ask_side(&mut self, now: Moment, id: JobId, name: NodeName, session: SessionId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.claim.asked.push(AskedSide {
            name: name.clone(),
            phase: ClaimPhase::Asked,
            due: now,
            renewal: now,
        });
        self.send_claim(now, id, &name, session);
    }

    /// Sends a claim that lasts for as long as the job may take, and as its runs may last after the end of their
    /// leases.
    pub(super) fn send_claim(
        &mut self,
        now: Moment,
        id: JobId,
        side: &NodeName,
        session: SessionId,
    ) {
        let run_over_after = self.settings.terms.run_over_after;
        let overdue_at = now + self.settings.terms.silence;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let renewed = now.max(job.deadline) + run_over_after;
        let term = renewed.since(now) + run_over_after;
        let is_reclaim = job.claim.is_reclaim();
        if let Some(asked) = job.claim.asked_mut(side) {
            asked.renewal = renewed;
            asked.due = match asked.phase {
                ClaimPhase::Asked => overdue_at.min(renewed),
                ClaimPhase::Held | ClaimPhase::Granted | ClaimPhase::Cancelled => renewed,
            };
        }
        self.expect_message(session, overdue_at);
        let claim = JobClaim {
            job: id,
            term_ms: term.as_millis() as u32,
            is_reclaim,
        };
        self.send(session, EntryOrder::Claim(claim));
    }

    /// Sets the time by which a side that was asked has to send some message, also on standby. This time is kept with
    /// the link, because the job may be over before the answer is overdue.
    pub(super) fn expect_message(&mut self, session: SessionId, by: Moment) {
        let name = self.sessions.get(&session);
        if let Some(side) = name.and_then(|name| self.sides.get_mut(name)) {
            side.answer_due.get_or_insert(by);
            self.sides_due = Some(self.sides_due.map_or(by, |due| due.min(by)));
        }
    }

    /// Handles the answer of a side to the claim of a job.
    pub(super) fn handle_claim_answer(
        &mut self,
        now: Moment,
        side: &NodeName,
        id: JobId,
        answer: ClaimAnswer,
    ) {
        let job = self.jobs.get(&id);
        let phase = job.and_then(|job| job.claim.phase_at(side));
        match answer {
            ClaimAnswer::Cancelled { by } => self.handle_cancelled(now, side, id, &by),
            // The claim was released in the meantime.
            _ if phase.is_none() => {}
            ClaimAnswer::Granted => self.handle_grant(now, side, id),
            ClaimAnswer::Held { by } => self.handle_held(now, side, id, by),
        }
    }

    /// Returns the grant of a side, because the entry waits for the grant of a side that ranks before it.
    fn return_grant(&mut self, side: &NodeName, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.claim.forget(side);
        }
        let session = self.sides.get(side).and_then(|side| side.session);
        if let Some(session) = session {
            self.send(session, EntryOrder::ReleaseClaim(id));
        }
    }

    fn handle_grant(&mut self, now: Moment, side: &NodeName, id: JobId) {
        match self.waits_before(id, side) {
            true => self.return_grant(side, id),
            false => self.record_claim_answer(side, id, ClaimPhase::Granted),
        }
        self.claim_job(now, id);
    }

    /// Returns whether another entry holds the job at a side that ranks before `side`, so that this entry waits for it
    /// there.
    fn waits_before(&self, id: JobId, side: &NodeName) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.claim.is_granted) else {
            return false;
        };
        let asked = job.claim.asked.iter();
        let mut held = asked.filter(|asked| asked.phase == ClaimPhase::Held);
        held.any(|held| self.ranks_before(id, &held.name, side))
    }

    pub(super) fn ranks_before(&self, id: JobId, one: &NodeName, other: &NodeName) -> bool {
        self.claim_rank_of(id, one) < self.claim_rank_of(id, other)
    }

    /// Returns the rank of a side for a job; `None` if the side is unknown.
    pub(super) fn claim_rank_of<'a>(&self, id: JobId, name: &'a NodeName) -> Option<ClaimRank<'a>> {
        let side = self.sides.get(name)?;
        Some(claim_rank(id, name, side))
    }

    /// Records the answer of a side. From now on the claim there only has to be renewed if the job outlasts it.
    pub(super) fn record_claim_answer(&mut self, side: &NodeName, id: JobId, phase: ClaimPhase) {
        let job = self.jobs.get_mut(&id);
        if let Some(asked) = job.and_then(|job| job.claim.asked_mut(side)) {
            asked.phase = phase;
            asked.due = asked.renewal;
        }
    }

    /// Marks a job as granted by all sides that had to be asked.
    fn complete_claim(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut job.claim.is_granted, true) {
            return;
        }
        job.claim.is_lost = false;
        let is_first = !std::mem::replace(&mut job.claim.was_granted, true);
        if is_first {
            self.begin_start_timeout(now, id);
        }
        self.queue_job(now, id);
    }

    /// Handles the answer that another entry holds a job at a side.
    ///
    /// If the other entry got the job while this one was out of contact with all sides that had granted it, this entry
    /// gives up the job: the other submission is newer.
    fn handle_held(&mut self, now: Moment, side: &NodeName, id: JobId, holder: NodeName) {
        self.record_claim_answer(side, id, ClaimPhase::Held);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.claim.is_granted {
            self.schedule_claim(id);
            return;
        }
        job.claim.is_lost = true;
        let has_begun = job.may_have_begun();
        let is_first_report = !std::mem::replace(&mut job.claim.was_held_elsewhere, true);
        let request_id = Arc::clone(&job.request.request_id);
        match has_begun {
            true => self.counters.claims_conflicting += 1,
            false => self.counters.claims_awaited += u64::from(is_first_report),
        }
        self.record_decision(SchedulerDecision::ClaimHeld {
            job: id,
            request_id,
            side: side.clone(),
            holder,
            has_begun,
        });
        match has_begun {
            true => self.answer(now, id, JobAnswer::TimedOut),
            false => self.return_grants_behind(side, id),
        }
        self.schedule_claim(id);
    }

    /// Returns the grants of all sides that rank after `side`: an entry that waits at a side must not hold any of them.
    fn return_grants_behind(&mut self, side: &NodeName, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let asked = job.claim.asked.iter();
        let granted = asked.filter(|asked| asked.phase == ClaimPhase::Granted);
        let behind = granted.filter(|granted| self.ranks_before(id, side, &granted.name));
        let behind: Vec<NodeName> = behind.map(|granted| granted.name.clone()).collect();
        for granted in behind {
            self.return_grant(&granted, id);
        }
    }

    /// Extends the start timeout of a job by the time that its claim took, because the job looks for capacity only from
    /// now on.
    fn begin_start_timeout(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !self.start_timeouts.remove(&(job.start_timeout_at, id)) {
            return;
        }
        job.start_timeout_at = job.start_timeout_at + now.since(job.arrived);
        self.start_timeouts.insert((job.start_timeout_at, id));
    }
}
