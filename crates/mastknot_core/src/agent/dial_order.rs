use std::time::Duration;

use crate::job::KnownEntry;
use crate::types::{NodeName, pair_rank};

/// So many entries are dialed at once, those first that are likely to use this side. Were all of them dialed, each entry
/// would have to answer every side at once as a large fleet starts.
const DIALED_AT_ONCE: usize = 16;
/// The others are dialed within this: they are for times when tasks wait or entries are lost.
const DIALED_WITHIN: Duration = Duration::from_secs(3);

/// Which entries a side dials at once and which of them a little later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DialOrder {
    /// Those that are likely to use the side.
    pub at_once: Vec<KnownEntry>,
    /// The others.
    pub later: Vec<KnownEntry>,
}

impl DialOrder {
    /// The order in which a side dials entries.
    pub fn new(side: &NodeName, entries: &[KnownEntry]) -> Self {
        let mut at_once = entries.to_vec();
        at_once.sort_by_key(|entry| pair_rank(&entry.name, side));
        let later = at_once.split_off(DIALED_AT_ONCE.min(at_once.len()));
        Self { at_once, later }
    }

    /// The pause before one of the later entries is dialed; `share` is a random number from 0 to 1.
    pub fn pause(share: f64) -> Duration {
        DIALED_WITHIN.mul_f64(share)
    }
}
