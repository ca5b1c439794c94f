use std::collections::BTreeSet;

use bincode::{Decode, Encode};

use crate::types::Hall;

/// The halls that operators have drained, as of one revision of the operators' store. Targets in a
/// drained hall get no new work.
///
/// Returning a hall to service is a change like draining one, so the set is only ever replaced as a
/// whole, by a set of a higher revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DrainedHalls {
    /// Revision of the operators' store; 0 until the store has been read.
    pub revision: u64,
    /// Names of the drained halls.
    pub halls: BTreeSet<Hall>,
}

impl DrainedHalls {
    /// Returns whether a hall is drained.
    pub fn contains(&self, hall: &Hall) -> bool {
        self.halls.contains(hall)
    }

    /// Returns whether this set is of a higher revision than `known` and so replaces it.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        self.revision > known.revision
    }
}
