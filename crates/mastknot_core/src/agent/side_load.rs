//! What waits at a side from all entries together: pure.

use std::collections::BTreeMap;

use crate::job::{RankedWork, WaitingNeed};

/// The work of all needs by rank, the most urgent first. What is less urgent than the last rank but one counts as the last.
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
