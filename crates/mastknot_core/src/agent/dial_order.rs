use std::time::Duration;

use crate::job::KnownEntry;
use crate::types::{NodeName, pair_rank};

/// Number of entries that are dialed immediately, starting with those that are most likely to use
/// this side. If every side dialed all entries immediately, each entry would have to answer all
/// sides at once when a large fleet starts.
const DIALED_AT_ONCE: usize = 16;

/// Division of the entries into those that a side dials immediately and those that it dials a
/// little later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DialOrder {
    /// Entries that are likely to use the side.
    pub at_once: Vec<KnownEntry>,
    /// All other entries.
    pub later: Vec<KnownEntry>,
}

impl DialOrder {
    /// Time within which a side dials all entries. The links to the later ones are needed only when
    /// tasks wait or entries are lost.
    pub const WITHIN: Duration = Duration::from_secs(3);

    /// Creates the dial order of a side for the given entries.
    pub fn new(side: &NodeName, entries: &[KnownEntry]) -> Self {
        let mut at_once = entries.to_vec();
        at_once.sort_by_key(|entry| pair_rank(&entry.name, side));
        let later = at_once.split_off(DIALED_AT_ONCE.min(at_once.len()));
        Self { at_once, later }
    }

    /// Returns the pause before one of the later entries is dialed. `share` is a random number from
    /// 0 to 1.
    pub fn pause(share: f64) -> Duration {
        Self::WITHIN.mul_f64(share)
    }
}
