use std::collections::BTreeMap;

use super::{MemberId, PastMembers};
use crate::types::{Moment, WallTime};

/// An earlier roster version, and the times since which its members accept nothing under it.
#[derive(Clone, Debug)]
pub(crate) struct PastRoster {
    pub(crate) members: PastMembers,
    /// Time at which this entry learned that the version was replaced.
    pub(crate) learned_at: Moment,
    /// Members that are known to accept nothing more, with this entry's wall clock at that
    /// discovery.
    pub(crate) stopped: BTreeMap<MemberId, WallTime>,
}
