//! Views of the load, composed from what an entry knows.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use super::{KnownLoad, LoadView, OrderKey};
use crate::job::{Capacity, RankedWork, SideLoad};
use crate::types::Moment;

/// Maximum number of waiting jobs whose work is summed up, as this happens for heartbeats several times a second.
const MAX_JOBS_SUMMED: usize = 256;

impl JobScheduler {
    /// Returns the load as known to this entry, for admission, retry times and operators.
    pub fn load_view(&self, now: Moment) -> LoadView {
        self.load_view_where(now, |_| true)
    }

    /// Returns the load at the sides for which `is_used` holds.
    pub(super) fn load_view_where(
        &self,
        now: Moment,
        is_used: impl Fn(&SideView) -> bool,
    ) -> LoadView {
        let own_work = self.own_waiting_work();
        let assumed = self.assumed_load(&own_work);
        let sides = self.sides.iter();
        let used = sides.filter(|(_, side)| side.takes_work() && is_used(side));
        let known = used.map(|(name, side)| KnownLoad {
            side: name.clone(),
            hall: side.hall.clone(),
            capacity: side
                .target
                .as_ref()
                .map_or(Capacity::default(), |it| it.capacity),
            slowdown: self.slowdown_at(side),
            free: side.free(),
            load: side_load(side, &assumed),
            age: now.since(
                side.load
                    .as_ref()
                    .map_or(side.last_received_at, |(_, reported)| *reported),
            ),
        });
        LoadView {
            sides: known.collect(),
            own_waiting: own_work,
        }
    }

    /// Returns the work that waits at this entry by rank, the most urgent first.
    pub(super) fn own_waiting_work(&self) -> Vec<RankedWork> {
        let mut ranks: BTreeMap<u8, u64> = BTreeMap::new();
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED);
        for (key, id) in free.take(MAX_JOBS_SUMMED) {
            let work = self.jobs.get(id).map_or(0, ActiveJob::waiting_work);
            let sum = ranks.entry(key.rank()).or_default();
            *sum = sum.saturating_add(work);
        }
        ranked_work(ranks)
    }

    /// Returns the work that waits at a side under the assumption that all entries have the same load as this one.
    fn assumed_load(&self, own_work: &[RankedWork]) -> SideLoad {
        let entries = self.entries_per_side();
        let others = f64::from(entries - 1);
        let mut ranks: BTreeMap<u8, u64> = BTreeMap::new();
        for (rank, mean) in self.demand.waiting.by_rank() {
            ranks.insert(rank, (mean * others) as u64);
        }
        for work in own_work {
            *ranks.entry(work.rank).or_default() += work.cpu_millis_ms;
        }
        SideLoad {
            waiting: ranked_work(ranks),
            entries,
            free_capacity_in_ms: 0,
        }
    }

    /// Returns the mean number of entries that use a side, under the assumption that all entries use as many sides as
    /// this one.
    fn entries_per_side(&self) -> u16 {
        let linked = self.sides.values().filter(|side| side.session.is_some());
        let used = self.sides.values().filter(|side| side.takes_work()).count();
        let all = self.entries.len().max(1) * used;
        all.div_ceil(linked.count().max(1)).max(1) as u16
    }
}

/// Returns the work that waits at a side. If the side has not reported any, each other entry is assumed to have as much
/// work waiting there as has waited here on average.
fn side_load(side: &SideView, assumed: &SideLoad) -> SideLoad {
    let reported = side.load.as_ref().map(|(load, _)| load);
    reported.unwrap_or(assumed).clone()
}

fn ranked_work(ranks: BTreeMap<u8, u64>) -> Vec<RankedWork> {
    let ranks = ranks.into_iter();
    let ranks = ranks.map(|(rank, cpu_millis_ms)| RankedWork {
        rank,
        cpu_millis_ms,
    });
    RankedWork::limit_ranks(ranks.collect())
}

/// Returns a filter for sides whose targets belong to a service.
pub(super) fn serves(service: &Arc<str>) -> impl Fn(&SideView) -> bool {
    move |side| {
        let target = side.target.as_ref();
        target.is_some_and(|target| *target.service == **service)
    }
}
