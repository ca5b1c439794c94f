//! What an entry knows of the load, put together.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::side_view::SideView;
use super::{KnownLoad, LoadView, OrderKey};
use crate::job::{Capacity, RankedWork, SideLoad};
use crate::types::Moment;

/// The most waiting jobs whose work is summed up: heartbeats do so some times a second.
const MOST_SUMMED: usize = 256;

impl JobScheduler {
    /// What is known of the load: for admission, return times and operators.
    pub fn load_view(&self, now: Moment) -> LoadView {
        self.load_view_where(now, |_| true)
    }

    /// The same for the sides that are wanted.
    pub(super) fn load_view_where(
        &self,
        now: Moment,
        is_used: impl Fn(&SideView) -> bool,
    ) -> LoadView {
        let own = self.own_waiting_work();
        let untold = self.untold_load(&own);
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
            load: side_load(side, &untold),
            age: now.since(
                side.load
                    .as_ref()
                    .map_or(side.last_received_at, |(_, told)| *told),
            ),
        });
        LoadView {
            sides: known.collect(),
            own,
        }
    }

    /// What waits here by rank, the most urgent first.
    pub(super) fn own_waiting_work(&self) -> Vec<RankedWork> {
        let mut ranks: BTreeMap<u8, u64> = BTreeMap::new();
        let free = self.waiting.range(..OrderKey::FIRST_CONTAINED);
        for (key, id) in free.take(MOST_SUMMED) {
            let work = self.jobs.get(id).map_or(0, ActiveJob::waiting_work);
            let sum = ranks.entry(key.rank()).or_default();
            *sum = sum.saturating_add(work);
        }
        ranked(ranks)
    }

    /// What waits at a side if all entries are alike.
    fn untold_load(&self, own: &[RankedWork]) -> SideLoad {
        let entries = self.entries_sharing();
        let others = f64::from(entries - 1);
        let mut ranks: BTreeMap<u8, u64> = BTreeMap::new();
        for (rank, mean) in self.demand.waiting.by_rank() {
            ranks.insert(rank, (mean * others) as u64);
        }
        for work in own {
            *ranks.entry(work.rank).or_default() += work.cpu_millis_ms;
        }
        SideLoad {
            waiting: ranked(ranks),
            entries,
            free_capacity_in_ms: 0,
        }
    }

    /// How many entries use a side on the mean, if all of them use as many as this one.
    fn entries_sharing(&self) -> u16 {
        let linked = self.sides.values().filter(|side| side.session.is_some());
        let used = self.sides.values().filter(|side| side.takes_work()).count();
        let all = self.entries.len().max(1) * used;
        all.div_ceil(linked.count().max(1)).max(1) as u16
    }
}

/// What is known to wait at a side. One that has not told is taken to serve, for each other entry, what has waited here on
/// the mean.
fn side_load(side: &SideView, untold: &SideLoad) -> SideLoad {
    let told = side.load.as_ref().map(|(load, _)| load);
    told.unwrap_or(untold).clone()
}

fn ranked(ranks: BTreeMap<u8, u64>) -> Vec<RankedWork> {
    let ranks = ranks.into_iter();
    let ranks = ranks.map(|(rank, cpu_millis_ms)| RankedWork {
        rank,
        cpu_millis_ms,
    });
    RankedWork::limit_ranks(ranks.collect())
}

/// Whether a side's target is one of a service.
pub(super) fn serves(service: &Arc<str>) -> impl Fn(&SideView) -> bool {
    move |side| {
        let target = side.target.as_ref();
        target.is_some_and(|target| *target.service == **service)
    }
}
