//! Load of waiting tasks at a side, over all entries. The function has no side effects.

use std::collections::BTreeMap;

use crate::job::{RankedWork, WaitingNeed};

/// Returns the sum of the work of all needs by rank, the most urgent first. Ranks beyond the number
/// of reported ranks are added to the last one.
pub(super) fn waiting_by_rank<'a>(needs: impl Iterator<Item = &'a WaitingNeed>) -> Vec<RankedWork> {
    let mut ranks: BTreeMap<u8, u64> = BTreeMap::new();
    for work in needs.flat_map(|need| &need.by_rank) {
        let sum = ranks.entry(work.rank).or_default();
        *sum = sum.saturating_add(work.cpu_millis_ms);
    }
    let ranked = ranks.into_iter().map(|(rank, cpu_millis_ms)| RankedWork {
        rank,
        cpu_millis_ms,
    });
    RankedWork::limit_ranks(ranked.collect())
}
