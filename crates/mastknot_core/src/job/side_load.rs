use bincode::{Decode, Encode};

use super::RankedWork;

/// Work from all entries of a side that waits for its capacity, as the side reports it to each of
/// them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SideLoad {
    /// Work that waits at all these entries, the most urgent first, in at most
    /// [`RankedWork::MAX_RANKS`] ranks.
    ///
    /// An entry reports the same need to each side that it uses, so this is the work that all those
    /// sides together are to serve, not only this side.
    pub waiting: Vec<RankedWork>,
    /// Number of entries that use the side for starts.
    pub entries: u16,
    /// Expected time until a task of the usual size finds free capacity, in milliseconds; 0 if it
    /// finds some now.
    pub free_capacity_in_ms: u32,
}
