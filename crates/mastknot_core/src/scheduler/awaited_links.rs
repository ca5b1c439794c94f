//! Lost links that are expected to return. Other entries may claim jobs at these sides in the meantime.

use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use crate::types::{Moment, NodeName};

impl JobScheduler {
    /// Handles the loss of the link to a side.
    ///
    /// A running side links again at once, so claims wait for it. The exception is a job that was granted to this
    /// entry: it is claimed at the next side at once, before duplicate submissions of it get there.
    ///
    /// An entry that loses most of the links in use was disconnected or paused itself. It waits for all of them for as
    /// long as runs may outlast the loss of a link.
    pub(super) fn await_link(&mut self, now: Moment, name: &NodeName) {
        let run_over_after = self.settings.terms.run_over_after;
        let back = now + self.settings.terms.heartbeat;
        if let Some(side) = self.sides.get_mut(name) {
            side.lost_at = now;
            side.awaited_for_new_jobs_until = back;
        }
        let is_lost =
            |side: &SideView| side.session.is_none() && now.since(side.lost_at) < run_over_after;
        let lost = self.sides.values().filter(|side| is_lost(side)).count();
        let left = self.active_links();
        if lost > left {
            let lost = self.sides.values_mut().filter(|side| is_lost(side));
            lost.for_each(|side| side.awaited_until = now + run_over_after);
        }
        self.is_disconnected |= left == 0;
        self.schedule_wait_for_links(now);
    }

    /// Expects the other links to return, once the first link is established after a time without any.
    pub(super) fn await_other_links(&mut self, now: Moment) {
        if !std::mem::take(&mut self.is_disconnected) {
            return;
        }
        let terms = &self.settings.terms;
        let (run_over_after, recent) = (terms.run_over_after, terms.standby_silence);
        let is_missing =
            |side: &SideView| side.session.is_none() && now.since(side.last_received_at) < recent;
        let missing = self.sides.values_mut().filter(|side| is_missing(side));
        missing.for_each(|side| side.awaited_until = now + run_over_after);
        self.schedule_wait_for_links(now);
    }

    fn schedule_wait_for_links(&mut self, now: Moment) {
        let missing = self.sides.values().filter(|side| !side.is_resumed);
        let ends = missing.flat_map(|side| [side.awaited_until, side.awaited_for_new_jobs_until]);
        self.links_awaited_until = ends.filter(|end| *end > now).min();
    }

    /// Stops waiting for links that have not returned in time, and claims jobs at other sides instead.
    pub(super) fn end_wait_for_links(&mut self, now: Moment) {
        if self.links_awaited_until.is_none_or(|end| now < end) {
            return;
        }
        self.schedule_wait_for_links(now);
        self.claim_all_jobs(now);
        self.replace_lost_notified(now);
    }
}
