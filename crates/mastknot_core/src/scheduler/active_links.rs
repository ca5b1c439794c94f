//! Selection of the links that are used for starts. With many sides, heartbeats on all links would cost more than the
//! work itself.

use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::side_view::{LinkMode, SideView};
use crate::job::EntryOrder;
use crate::types::{Moment, NodeName};

/// Maximum number of links in use while tasks wait for capacity, as a multiple of the usual number.
const MAX_LINKS_FACTOR: usize = 2;
/// Number of links that are activated together. The next ones follow after [`ACTIVATION_INTERVAL`] at the earliest.
const ACTIVATION_BATCH: usize = 8;
/// Minimum time between two activations of links. It is long enough for the sides that were activated before to report,
/// which takes one exchange, and to show whether they have capacity.
const ACTIVATION_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks for links beyond the usual number. Each check visits all sides.
const SURPLUS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which links beyond the usual number are kept after a task last waited.
const SURPLUS_KEPT_FOR: Duration = Duration::from_secs(5);

/// Time after which tasks that have waited without a break show that capacity is short at the sides in use. Several
/// runs end at each of these sides within this time.
const SHORTAGE_AFTER: Duration = Duration::from_millis(80);

/// Times of the last activations of links, and whether more links than usual are kept.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ActiveLinks {
    last_activation: Moment,
    last_surplus_check: Moment,
    /// Time at which a task last waited while no side had capacity for it.
    last_needed: Moment,
    is_needed: bool,
    /// Start of the current period in which tasks wait without a break.
    waiting_since: Option<Moment>,
}

impl JobScheduler {
    /// Keeps the links with the lowest ranks in use, and uses more links while tasks wait for capacity.
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

    /// Returns whether tasks have waited for longer than it takes until the next grants arrive; always true where
    /// capacity is not granted.
    ///
    /// Where capacity is granted, nearly all tasks wait for a moment. More links for such short waits would only cost
    /// heartbeats and split the capacity into smaller pieces.
    fn is_capacity_short(&self, now: Moment) -> bool {
        let since = self.active_links.waiting_since;
        let has_waited = since.is_some_and(|since| now.since(since) >= SHORTAGE_AFTER);
        has_waited || !self.uses_capacity_grants()
    }

    fn record_links_needed(&mut self, now: Moment) {
        self.active_links.last_needed = now;
        self.active_links.is_needed = true;
    }

    /// Returns the number of links that are used for starts.
    pub fn active_links(&self) -> usize {
        self.count_links(LinkMode::Active)
    }

    /// Returns the time at which links beyond the usual number are no longer kept.
    pub(super) fn active_links_due(&self) -> Option<Moment> {
        let due = self.active_links.last_needed + SURPLUS_KEPT_FOR;
        self.active_links.is_needed.then_some(due)
    }

    /// Activates standby links with lower ranks than the links in use, once the maximum number of links is in use.
    /// Links with higher ranks then go on standby.
    ///
    /// Without this, no entry would use targets that return to service during a burst.
    fn activate_lower_ranks(&mut self, now: Moment) {
        let used = self.sides.values().filter(|side| is_in_use(side));
        let mut ranks: Vec<u32> = used.map(|side| side.rank).collect();
        ranks.sort_unstable();
        // Links beyond this position go on standby as soon as nothing runs there.
        let Some(last) = ranks.get(self.max_links().saturating_sub(1)).copied() else {
            return;
        };
        let names = self.standby_names(ACTIVATION_BATCH, |side| side.rank < last);
        names.iter().for_each(|name| self.activate(now, name));
    }

    /// Activates standby links in place of links that are gone or whose targets take no work.
    pub(super) fn fill_active_links(&mut self, now: Moment) {
        let used = self.sides.values().filter(|side| is_in_use(side)).count();
        let missing = self.usual_links().saturating_sub(used);
        let names = self.standby_names(missing, |_| true);
        names.iter().for_each(|name| self.activate(now, name));
    }

    /// Returns the number of links that are normally in use.
    fn usual_links(&self) -> usize {
        let settings = &self.settings;
        settings.usual_links(self.entries.len(), self.sessions.len())
    }

    /// Returns the maximum number of links that may be in use now.
    fn max_links(&self) -> usize {
        match self.active_links.is_needed {
            true => self.usual_links() * MAX_LINKS_FACTOR,
            false => self.usual_links(),
        }
    }

    fn count_links(&self, mode: LinkMode) -> usize {
        let linked = self.sides.values().filter(|side| side.session.is_some());
        linked.filter(|side| side.link_mode == mode).count()
    }

    /// Activates links to targets that could run the tasks of the first waiting job.
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
        // A queue may have only a few of many targets.
        let has_max = count >= self.max_links() || !self.is_capacity_short(now);
        if has_max && suitable >= self.usual_links() / 2 {
            return;
        }
        let names = self.standby_names(ACTIVATION_BATCH, is_suitable);
        if !names.is_empty() {
            self.record_links_needed(now);
        }
        names.iter().for_each(|name| self.activate(now, name));
    }

    /// Returns linked sides on standby whose targets take work, those with the lowest ranks first.
    fn standby_names(&self, max: usize, filter: impl Fn(&SideView) -> bool) -> Vec<NodeName> {
        if max == 0 {
            return Vec::new();
        }
        let standby = self.sides.iter().filter(|(_, side)| {
            let is_on_standby = side.session.is_some() && side.link_mode == LinkMode::Standby;
            is_on_standby && !side.is_out_of_service() && filter(side)
        });
        let mut ranked: Vec<(u32, &NodeName)> =
            standby.map(|(name, side)| (side.rank, name)).collect();
        ranked.sort_unstable();
        ranked.truncate(max);
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
        // The silence timeout of a link in use counts from now, so that a side that does not answer is given up.
        // Nothing runs there, so nothing depends on the time of its last message.
        side.last_received_at = now;
        side.last_sent_update = None;
        self.sides_due = Some(now);
        self.counters.links_woken += 1;
        self.send(session, EntryOrder::Activate);
    }

    /// Puts links beyond the current maximum on standby if nothing runs there: first those whose targets take no work,
    /// then those with the highest ranks.
    ///
    /// New links begin in use. Without this, processes that start in a burst would keep all of their links, and most of
    /// their starts would collide with those of other entries. Links to targets that are gone are always idle: if they
    /// stayed in use, they would displace usable links.
    fn put_surplus_on_standby(&mut self) {
        let mut used: Vec<(bool, u32, NodeName)> = Vec::new();
        for (name, side) in &self.sides {
            if side.session.is_some() && side.link_mode != LinkMode::Standby {
                used.push((side.is_out_of_service(), side.rank, name.clone()));
            }
        }
        let max = self.max_links();
        if used.len() <= max {
            return;
        }
        used.sort_unstable();
        for (_, _, name) in used.split_off(max) {
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

/// Returns whether a link is used for starts, or will be as soon as its side has reported.
fn is_in_use(side: &SideView) -> bool {
    side.session.is_some() && side.link_mode != LinkMode::Standby && !side.is_out_of_service()
}

/// Returns whether a side's target may run the tasks of a job. A target that is not known yet counts as suitable.
fn could_run(job: &ActiveJob, side: &SideView) -> bool {
    let Some(target) = &side.target else {
        return true;
    };
    let labels = job.request.steps.iter();
    let mut labels = labels.flat_map(|step| &step.required_label);
    *target.service == *job.policy.service && labels.all(|label| side.has_label(label))
}
