use std::collections::BTreeSet;

use bincode::{Decode, Encode};

use crate::types::Hall;

/// The halls that operators have drained, as of one revision of their store: targets there get no new work.
///
/// A hall that is returned is news like one that is drained, so the set is only ever replaced as a whole, by one of a
/// higher revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DrainedHalls {
    /// The revision; 0 as long as nothing has been read.
    pub revision: u64,
    /// The halls.
    pub halls: BTreeSet<Hall>,
}

impl DrainedHalls {
    /// Whether a hall is drained.
    pub fn contains(&self, hall: &Hall) -> bool {
        self.halls.contains(hall)
    }

    /// Whether this takes the place of what is known.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        self.revision > known.revision
    }
}
