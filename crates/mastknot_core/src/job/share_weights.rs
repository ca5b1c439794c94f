use std::collections::BTreeMap;

use bincode::{Decode, Encode};

use crate::types::Hall;

/// The weight of whoever the operators have not named.
const USUAL_WEIGHT: u32 = 100;

/// How scarce room is shared between halls whose needs are equally urgent, as of one revision of the operators' store.
///
/// Like the drained halls, they are only ever replaced as a whole, by those of a higher revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ShareWeights {
    /// The revision; 0 as long as nothing has been read.
    pub revision: u64,
    /// The weights of halls; one with twice the weight of another has twice its share while both wait.
    pub halls: BTreeMap<Hall, u32>,
}

impl ShareWeights {
    /// The largest weight.
    pub const MAX: u32 = 10_000;

    /// The weight of a hall, 1 to [`ShareWeights::MOST`].
    pub fn of_hall(&self, hall: &Hall) -> u32 {
        let weight = self.halls.get(hall).copied();
        weight.unwrap_or(USUAL_WEIGHT).clamp(1, Self::MAX)
    }

    /// Whether this takes the place of what is known.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        self.revision > known.revision
    }
}
