//! Outcomes of cancels: an entry answers the callers of a cancel by what the sides have answered.

use std::sync::Arc;

use super::cancel_state::{CancelledJob, PendingCancel};
use super::claiming::{SIDES_PER_CLAIM, SideToAsk};
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use super::{CallerId, CancelRequest, SchedulerDecision, SchedulerEffect};
use crate::agent::DialOrder;
use crate::job::{CancelAnswer, CancelOutcome, JobId};
use crate::types::{Moment, NodeName};

impl JobScheduler {
    /// Makes a caller wait for the outcome of a cancel.
    pub(super) fn await_outcome(&mut self, now: Moment, caller: CallerId, cancel: &CancelRequest) {
        let due = now + cancel.time_left;
        let new = PendingCancel {
            callers: Vec::new(),
            request_id: Arc::clone(&cancel.request_id),
            since: now,
            due,
            holder: None,
            is_unreached: false,
        };
        let pending = self.pending_cancels.entry(cancel.job).or_insert(new);
        pending.callers.push(caller);
        self.cancels_due.insert((pending.due, cancel.job));
    }

    /// Returns the sides whose answers decide about a cancel: those at which other entries would claim the job now.
    pub(super) fn sides_asked_about_cancel(&self, now: Moment, id: JobId) -> Vec<SideToAsk> {
        let can_answer = |side: &SideView| side.takes_claims && side.features.has_cancels();
        self.first_sides_that_answer(now, id, false, can_answer)
    }

    /// Handles the answer of a side to a cancel.
    pub(super) fn handle_cancel_answer(
        &mut self,
        now: Moment,
        side: &NodeName,
        id: JobId,
        answer: CancelAnswer,
    ) {
        let Some(cancelled) = self.cancelled.get_mut(&id) else {
            return;
        };
        if !cancelled.record_answered(side) {
            return;
        }
        cancelled.was_found |= matches!(answer, CancelAnswer::Found { .. });
        if let Some(pending) = self.pending_cancels.get_mut(&id) {
            match answer {
                CancelAnswer::Found { holder, held_ms } => {
                    let holder = holder.map(|holder| (holder, held_ms));
                    pending.holder = holder.or(pending.holder.take());
                }
                CancelAnswer::Unreached { holder } => {
                    pending.holder = Some((holder, 0));
                    pending.is_unreached = true;
                }
                CancelAnswer::NotFound => {}
            }
        }
        self.settle_cancel(now, id);
    }

    /// Answers the callers of a cancel once its outcome is known.
    pub(super) fn settle_cancel(&mut self, now: Moment, id: JobId) {
        if let Some(outcome) = self.cancel_outcome(now, id) {
            self.answer_cancel(now, id, outcome);
        }
    }

    /// Returns the outcome of a cancel; `None` while it is not known.
    fn cancel_outcome(&self, now: Moment, id: JobId) -> Option<CancelOutcome> {
        let pending = self.pending_cancels.get(&id)?;
        let cancelled = self.cancelled.get(&id);
        let Some(cancelled) = cancelled.filter(|_| !pending.is_unreached) else {
            return Some(CancelOutcome::Unconfirmed);
        };
        if !self.settings.claims_jobs {
            return Some(match cancelled.was_found {
                true => CancelOutcome::Cancelled,
                false => CancelOutcome::NotFound,
            });
        }
        let asked = self.sides_asked_about_cancel(now, id);
        let has_answered =
            |side: &SideToAsk| side.session.is_some() && cancelled.has_answered(&side.name);
        if asked.is_empty() || !asked.iter().all(has_answered) {
            return None;
        }
        if cancelled.was_found {
            return Some(CancelOutcome::Cancelled);
        }
        self.is_certainly_absent(now, id, cancelled)
            .then_some(CancelOutcome::NotFound)
    }

    /// Returns whether the answers show that no entry has a job.
    ///
    /// They do if a side has answered at which all other entries claim the job, even those that are linked to sides that
    /// this entry has lost or is not linked to yet.
    fn is_certainly_absent(&self, now: Moment, id: JobId, cancelled: &CancelledJob) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        if now.since(started_at) < DialOrder::WITHIN {
            return false;
        }
        let longest_loss = self.settings.terms.standby_silence;
        let may_live = |side: &SideView| {
            side.session.is_some() || now.since(side.last_received_at) < longest_loss
        };
        let sides = self.sides.iter().filter(|(_, side)| may_live(side));
        let mut names: Vec<&NodeName> = sides.map(|(name, _)| name).collect();
        names.sort_unstable_by_key(|name| self.claim_rank_of(id, name));
        let mut first = names.into_iter().take(SIDES_PER_CLAIM);
        first.any(|name| cancelled.has_answered(name))
    }

    fn answer_cancel(&mut self, now: Moment, id: JobId, outcome: CancelOutcome) {
        let Some(pending) = self.pending_cancels.remove(&id) else {
            return;
        };
        self.cancels_due.remove(&(pending.due, id));
        match outcome {
            CancelOutcome::Cancelled => self.counters.cancels_done += 1,
            CancelOutcome::NotFound => self.counters.cancels_not_found += 1,
            CancelOutcome::Unconfirmed => self.counters.cancels_unconfirmed += 1,
        }
        let (holder, held_ms) = pending.holder.unzip();
        let cancelled = self.cancelled.get(&id);
        self.record_decision(SchedulerDecision::CancelAnswered {
            job: id,
            request_id: pending.request_id,
            outcome,
            holder,
            held_ms,
            sides: cancelled.map_or(0, |cancelled| cancelled.notified().count()),
            after_ms: now.since(pending.since).as_millis() as u64,
        });
        for caller in pending.callers {
            self.effects
                .push(SchedulerEffect::AnswerCancel { caller, outcome });
        }
    }

    /// Forgets cancelled jobs that nobody can submit any more, and answers cancels whose time is over.
    pub(super) fn maintain_cancels(&mut self, now: Moment) {
        self.cancelled.expire(now);
        while let Some((due, id)) = self.cancels_due.first().copied() {
            if due > now {
                return;
            }
            self.cancels_due.pop_first();
            let outcome = self.cancel_outcome(now, id);
            let outcome = outcome.unwrap_or_else(|| self.outcome_in_part(id));
            self.answer_cancel(now, id, outcome);
        }
    }

    /// Returns the outcome of a cancel that not all sides have answered that were asked.
    fn outcome_in_part(&self, id: JobId) -> CancelOutcome {
        let cancelled = self.cancelled.get(&id);
        let has_answer = |cancelled: &CancelledJob| {
            let mut notified = cancelled.notified();
            notified.any(|side| cancelled.has_answered(side))
        };
        match cancelled.is_some_and(|cancelled| cancelled.was_found && has_answer(cancelled)) {
            true => CancelOutcome::Cancelled,
            false => CancelOutcome::Unconfirmed,
        }
    }

    /// Continues with the cancels that are not answered yet, after the links have changed.
    pub(super) fn review_pending_cancels(&mut self, now: Moment) {
        let pending: Vec<JobId> = self.pending_cancels.keys().copied().collect();
        for id in pending {
            self.notify_sides(now, id);
            self.settle_cancel(now, id);
        }
    }

    /// Returns the time at which the next cancel has to be answered.
    pub(super) fn cancels_due(&self) -> Option<Moment> {
        self.cancels_due.first().map(|(due, _)| *due)
    }
}
