//! Notices of cancelled jobs to sides, which are repeated for sides that link later or have lost their memory.

use super::SessionId;
use super::cancel_state::CancelledJob;
use super::claiming::{SIDES_PER_CLAIM, SideToAsk};
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use crate::job::{EntryOrder, JobCancel, JobId};
use crate::types::{Moment, NodeName};

impl JobScheduler {
    /// Notifies the sides at which entries claim a job that it is cancelled, unless they know.
    pub(super) fn notify_sides(&mut self, now: Moment, id: JobId) {
        if !self.settings.claims_jobs {
            return;
        }
        let first = self.first_linked_sides(now, id);
        let asked = self.sides_asked_about_cancel(now, id);
        let asked = asked.into_iter().filter_map(SideToAsk::linked);
        let claimed = self.claim_sessions(id);
        let sides: Vec<(NodeName, SessionId)> = first.chain(asked).chain(claimed).collect();
        for (side, session) in sides {
            self.notify_side(now, id, &side, session);
        }
    }

    /// Returns the sides with the lowest ranks for a job among those that can read a cancel now, including sides that do
    /// not know yet which jobs were claimed before they started.
    fn first_linked_sides(
        &self,
        now: Moment,
        id: JobId,
    ) -> impl Iterator<Item = (NodeName, SessionId)> + use<> {
        let can_read = |side: &SideView| side.features.has_cancels();
        let sides = self.first_sides(now, id, can_read);
        sides.into_iter().filter_map(SideToAsk::linked)
    }

    /// Notifies one side that a job is cancelled, unless it knows.
    pub(super) fn notify_side(
        &mut self,
        now: Moment,
        id: JobId,
        side: &NodeName,
        session: SessionId,
    ) {
        let view = self.sides.get(side);
        let Some(view) = view.filter(|view| view.features.has_cancels()) else {
            return;
        };
        let answers_at_once = view.takes_claims;
        let (Some(until), Some(cancelled)) = (self.cancelled.end(&id), self.cancelled.get_mut(&id))
        else {
            return;
        };
        if cancelled.is_notified(side) {
            return;
        }
        cancelled.record_notified(side);
        if answers_at_once {
            self.expect_message(session, now + self.settings.terms.silence);
        }
        let term_ms = until.since(now).as_millis() as u32;
        let cancel = JobCancel { job: id, term_ms };
        self.send(session, EntryOrder::Cancel(cancel));
    }

    /// Notifies other sides of cancelled jobs in place of one whose link was lost: it may have forgotten them.
    pub(super) fn replace_notified(&mut self, now: Moment, side: &NodeName) {
        let knows = |cancelled: &CancelledJob| cancelled.is_notified(side);
        for id in self.cancelled_jobs(knows) {
            if let Some(cancelled) = self.cancelled.get_mut(&id) {
                cancelled.forget_notified(side);
            }
            self.notify_sides(now, id);
        }
        self.review_pending_cancels(now);
    }

    /// Notifies other sides of cancelled jobs in place of those that have not linked again in time.
    pub(super) fn replace_lost_notified(&mut self, now: Moment) {
        let lacks_side = |cancelled: &CancelledJob| cancelled.notified().count() < SIDES_PER_CLAIM;
        for id in self.cancelled_jobs(lacks_side) {
            self.notify_sides(now, id);
        }
        self.review_pending_cancels(now);
    }

    /// Notifies a newly linked side of the cancelled jobs for which it is among the first sides by rank.
    pub(super) fn notify_new_link(&mut self, now: Moment, side: &NodeName) {
        let Some(session) = self.sides.get(side).and_then(|view| view.session) else {
            return;
        };
        for id in self.cancelled_jobs(|_| true) {
            if let Some(cancelled) = self.cancelled.get_mut(&id) {
                cancelled.forget_notified(side);
            }
            if self.is_among_first_notified(id, side) {
                self.notify_side(now, id, side, session);
            }
        }
        self.review_pending_cancels(now);
    }

    fn is_among_first_notified(&self, id: JobId, side: &NodeName) -> bool {
        let Some(cancelled) = self.cancelled.get(&id) else {
            return false;
        };
        let notified = cancelled.notified();
        let before = notified.filter(|other| self.ranks_before(id, other, side));
        before.count() < SIDES_PER_CLAIM
    }

    fn cancelled_jobs(&self, is_selected: impl Fn(&CancelledJob) -> bool) -> Vec<JobId> {
        let jobs = self.cancelled.iter().filter(|(_, job)| is_selected(job));
        jobs.map(|(id, _)| id).collect()
    }
}
