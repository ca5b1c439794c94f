//! Links that have gone and are expected back: the sides are asked about their jobs by others meanwhile.

use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use crate::types::{Moment, NodeName};

impl JobScheduler {
    /// The link to a side is gone. A side that lives links again at once: it is waited for, unless a job was granted
    /// here; that is claimed at the next side before its copies get there.
    ///
    /// An entry that loses most of the links that it uses was cut off or stood still itself, and waits for all of them for
    /// as long as runs outlast such a loss.
    pub(super) fn await_link(&mut self, now: Moment, name: &NodeName) {
        let lasts = self.settings.terms.run_over_after;
        let back = now + self.settings.terms.heartbeat;
        if let Some(side) = self.sides.get_mut(name) {
            side.lost_at = now;
            side.awaited_for_new_jobs_until = back;
        }
        let is_lost = |side: &SideView| side.session.is_none() && now.since(side.lost_at) < lasts;
        let lost = self.sides.values().filter(|side| is_lost(side)).count();
        let left = self.active_links();
        if lost > left {
            let lost = self.sides.values_mut().filter(|side| is_lost(side));
            lost.for_each(|side| side.awaited_until = now + lasts);
        }
        self.is_disconnected |= left == 0;
        self.schedule_wait_for_links(now);
    }

    /// The first link of an entry that had none stands: the others are expected from now on.
    pub(super) fn await_other_links(&mut self, now: Moment) {
        if !std::mem::take(&mut self.is_disconnected) {
            return;
        }
        let terms = &self.settings.terms;
        let (lasts, recently) = (terms.run_over_after, terms.standby_silence);
        let is_missing =
            |side: &SideView| side.session.is_none() && now.since(side.last_received_at) < recently;
        let missing = self.sides.values_mut().filter(|side| is_missing(side));
        missing.for_each(|side| side.awaited_until = now + lasts);
        self.schedule_wait_for_links(now);
    }

    fn schedule_wait_for_links(&mut self, now: Moment) {
        let missing = self.sides.values().filter(|side| !side.is_resumed);
        let ends = missing.flat_map(|side| [side.awaited_until, side.awaited_for_new_jobs_until]);
        self.links_awaited_until = ends.filter(|end| *end > now).min();
    }

    /// Links that have not come back in their time are waited for no more.
    pub(super) fn end_wait_for_links(&mut self, now: Moment) {
        if self.links_awaited_until.is_none_or(|end| now < end) {
            return;
        }
        self.schedule_wait_for_links(now);
        self.claim_all_jobs(now);
    }
}
