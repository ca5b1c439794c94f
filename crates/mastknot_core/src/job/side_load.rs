use bincode::{Decode, Encode};

use super::RankedWork;

/// What waits for room at a side, from all entries that use it, as the side tells each of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SideLoad {
    /// What waits at all these entries, the most urgent first; at most [`RankedWork::MOST_RANKS`].
    ///
    /// An entry tells the same need to each side that it uses, so this is what all of them together are to serve, not what
    /// comes to this side.
    pub waiting: Vec<RankedWork>,
    /// How many entries use the side for starts.
    pub entries: u16,
    /// When a task of the usual size is next expected to find room, in milliseconds; 0 if it does now.
    pub free_capacity_in_ms: u32,
}
