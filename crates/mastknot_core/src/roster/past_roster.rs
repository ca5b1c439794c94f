use std::collections::BTreeMap;

use super::{MemberId, PastMembers};
use crate::types::{Moment, WallTime};

/// An earlier roster version, and since when each of its members accepts nothing under it.
#[derive(Clone, Debug)]
pub(crate) struct PastRoster {
    pub(crate) members: PastMembers,
    /// When this entry learned that the version was replaced.
    pub(crate) learned_at: Moment,
    /// This entry's wall clock when it saw that the member had stopped.
    pub(crate) stopped: BTreeMap<MemberId, WallTime>,
}
