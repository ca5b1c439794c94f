//! Which links are used for starts: with many sides, heartbeats on all of them cost more than the work.

use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::side_view::{LinkMode, SideView};
use crate::job::EntryOrder;
use crate::types::{Moment, NodeName};

/// So many times the usual number are used at most, while tasks wait for room.
const MAX_LINKS_FACTOR: usize = 2;
/// So many are woken at once, and no more for [`WAKE_INTERVAL`].
const ACTIVATION_BATCH: usize = 8;
/// Long enough that those woken before have reported (one exchange) and shown whether they have room.
const ACTIVATION_INTERVAL: Duration = Duration::from_millis(50);
/// How often links beyond the usual number are looked for: the look goes through all sides.
const SURPLUS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Links beyond the usual number are kept for so long after tasks last waited.
const SURPLUS_KEPT_FOR: Duration = Duration::from_secs(5);

/// Where tasks wait for longer without a break, room is short at the sides in use: some ends of runs come in this time
/// at each of them.
const SHORTAGE_AFTER: Duration = Duration::from_millis(80);

/// When links were woken, and until when more than usual are kept.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ActiveLinks {
    last_activation: Moment,
    last_surplus_check: Moment,
    /// When a task last waited without a side that had room for it.
    last_needed: Moment,
    is_needed: bool,
    /// Since when tasks have waited without a break.
    waiting_since: Option<Moment>,
}

impl JobScheduler {
    /// Keeps the links of the lowest ranks in use, and more of them while tasks wait for room.
    pub(super) fn adjust_active_links(&mut self, now: Moment) {
        if self.sides.len() <= self.usual_links() {
            return;
        }
        if self.waiting.is_empty() {
            self.active_links.waiting_since = None;
        } else {
            self.active_links.waiting_since.get_or_insert(now);
            if self.is_capacity_short(now) {
                self.record_links_needed(now);
            }
            self.activate_suitable(now);
        }
        if now.since(self.active_links.last_needed) > SURPLUS_KEPT_FOR {
            self.active_links.is_needed = false;
        }
        if now >= self.active_links.last_surplus_check + SURPLUS_CHECK_INTERVAL {
            self.active_links.last_surplus_check = now;
            self.activate_lower_ranks(now);
            self.put_surplus_on_standby();
            self.fill_active_links(now);
        }
    }

    /// Whether tasks wait for longer than until the next grants.
    ///
    /// Where room is granted nearly all tasks wait for a moment: more links for that would only cost heartbeats and split
    /// the room into smaller pieces.
    fn is_capacity_short(&self, now: Moment) -> bool {
        let since = self.active_links.waiting_since;
        let has_waited = since.is_some_and(|since| now.since(since) >= SHORTAGE_AFTER);
        has_waited || !self.uses_capacity_grants()
    }

    fn record_links_needed(&mut self, now: Moment) {
        self.active_links.last_needed = now;
        self.active_links.is_needed = true;
    }

    /// Links that are used for starts.
    pub fn active_links(&self) -> usize {
        self.count_links(LinkMode::Active)
    }

    /// When links beyond the usual number are given up.
    pub(super) fn active_links_due(&self) -> Option<Moment> {
        let due = self.active_links.last_needed + SURPLUS_KEPT_FOR;
        self.active_links.is_needed.then_some(due)
    }

    /// Links of lower ranks that are of use again take the place of others, once all places are taken.
    ///
    /// Otherwise nobody uses targets that come back to a crowd.
    fn activate_lower_ranks(&mut self, now: Moment) {
        let used = self.sides.values().filter(|side| is_in_use(side));
        let mut ranks: Vec<u32> = used.map(|side| side.rank).collect();
        ranks.sort_unstable();
        // Links beyond that place go on standby as soon as nothing runs there.
        let Some(last) = ranks.get(self.max_links().saturating_sub(1)).copied() else {
            return;
        };
        let names = self.standby_names(ACTIVATION_BATCH, |side| side.rank < last);
        names.iter().for_each(|name| self.activate(now, name));
    }

    /// Links are gone, or their targets take no work any more: others take their place.
    pub(super) fn fill_active_links(&mut self, now: Moment) {
        let used = self.sides.values().filter(|side| is_in_use(side)).count();
        let missing = self.usual_links().saturating_sub(used);
        let names = self.standby_names(missing, |_| true);
        names.iter().for_each(|name| self.activate(now, name));
    }

    /// How many links are used as a rule.
    fn usual_links(&self) -> usize {
        let settings = &self.settings;
        settings.usual_links(self.entries.len(), self.sessions.len())
    }

    /// How many links are used now at most.
    fn max_links(&self) -> usize {
        match self.active_links.is_needed {
            true => self.usual_links() * MAX_LINKS_FACTOR,
            false => self.usual_links(),
        }
    }

    fn count_links(&self, duty: LinkMode) -> usize {
        let linked = self.sides.values().filter(|side| side.session.is_some());
        linked.filter(|side| side.link_mode == duty).count()
    }

    /// Wakes links to targets that could run the first task that waits.
    fn activate_suitable(&mut self, now: Moment) {
        if now < self.active_links.last_activation + ACTIVATION_INTERVAL {
            return;
        }
        self.active_links.last_activation = now;
        let first = self.waiting.values().next();
        let Some(job) = first.and_then(|id| self.jobs.get(id)) else {
            return;
        };
        let kind = self.contained_kind(job);
        let is_suitable = |side: &SideView| could_run(job, side) && side.reserved_for == kind;
        let used = self.sides.values().filter(|side| is_in_use(side));
        let (count, suitable) = used.fold((0, 0), |(count, suitable), side| {
            (count + 1, suitable + usize::from(is_suitable(side)))
        });
        // A queue's own targets may be few among many.
        let has_most = count >= self.max_links() || !self.is_capacity_short(now);
        if has_most && suitable >= self.usual_links() / 2 {
            return;
        }
        let names = self.standby_names(ACTIVATION_BATCH, is_suitable);
        if !names.is_empty() {
            self.record_links_needed(now);
        }
        names.iter().for_each(|name| self.activate(now, name));
    }

    /// Linked sides on standby whose targets take work, the lowest ranks first.
    fn standby_names(&self, most: usize, filter: impl Fn(&SideView) -> bool) -> Vec<NodeName> {
        if most == 0 {
            return Vec::new();
        }
        let standby = self.sides.iter().filter(|(_, side)| {
            let is_on_standby = side.session.is_some() && side.link_mode == LinkMode::Standby;
            is_on_standby && !side.is_out_of_service() && filter(side)
        });
        let mut ranked: Vec<(u32, &NodeName)> =
            standby.map(|(name, side)| (side.rank, name)).collect();
        ranked.sort_unstable();
        ranked.truncate(most);
        ranked.into_iter().map(|(_, name)| name.clone()).collect()
    }

    fn activate(&mut self, now: Moment, name: &NodeName) {
        let Some(side) = self.sides.get_mut(name) else {
            return;
        };
        let Some(session) = side.session else {
            return;
        };
        side.link_mode = LinkMode::Activating;
        // A side that does not answer is given up after the silence of a link in use from now on;
        // nothing runs there, so nothing depends on when it was really heard.
        side.last_received_at = now;
        side.last_sent_update = None;
        self.sides_due = Some(now);
        self.counters.links_woken += 1;
        self.send(session, EntryOrder::Activate);
    }

    /// Puts links beyond the number that is used now on standby, where nothing runs: those whose targets take no
    /// work, then the highest ranks.
    ///
    /// Links are made in use: without this all processes that start in a crowd keep all of them, and most starts meet those
    /// of others. Links to targets that are gone are always idle; if they kept their places they would crowd out the others.
    fn put_surplus_on_standby(&mut self) {
        let mut used: Vec<(bool, u32, NodeName)> = Vec::new();
        for (name, side) in &self.sides {
            if side.session.is_some() && side.link_mode != LinkMode::Standby {
                used.push((side.is_out_of_service(), side.rank, name.clone()));
            }
        }
        let most = self.max_links();
        if used.len() <= most {
            return;
        }
        used.sort_unstable();
        for (_, _, name) in used.split_off(most) {
            self.put_on_standby(&name);
        }
    }

    fn put_on_standby(&mut self, name: &NodeName) {
        let Some(side) = self.sides.get_mut(name) else {
            return;
        };
        let is_known = side.is_resumed && (side.target.is_some() || side.is_out_of_service());
        let is_idle = side.runs.is_empty() && is_known;
        let Some(session) = side.session.filter(|_| is_idle) else {
            return;
        };
        side.link_mode = LinkMode::Standby;
        self.counters.links_stood_by += 1;
        self.send(session, EntryOrder::Standby);
    }
}

/// Whether a link is used for starts, or will be as soon as its side has reported.
fn is_in_use(side: &SideView) -> bool {
    side.session.is_some() && side.link_mode != LinkMode::Standby && !side.is_out_of_service()
}

/// Whether a side's target is one of those that a job's tasks may run on, as far as it is known.
fn could_run(job: &ActiveJob, side: &SideView) -> bool {
    let Some(target) = &side.target else {
        return true;
    };
    let labels = job.request.steps.iter();
    let mut labels = labels.flat_map(|step| &step.required_label);
    *target.service == *job.policy.service && labels.all(|label| side.has_label(label))
}
