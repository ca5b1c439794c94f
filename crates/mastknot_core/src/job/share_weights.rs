use std::collections::BTreeMap;

use bincode::{Decode, Encode};

use crate::types::Hall;

/// Weight of a hall for which the operators have set none.
const DEFAULT_WEIGHT: u32 = 100;

/// Weights by which scarce capacity is shared between halls whose needs are equally urgent, as of
/// one revision of the operators' store.
///
/// Like the drained halls, the weights are only ever replaced as a whole, by those of a higher
/// revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ShareWeights {
    /// Revision of the operators' store; 0 until the store has been read.
    pub revision: u64,
    /// Weights by hall. While two halls wait, one with twice the weight of the other gets twice its
    /// share.
    pub halls: BTreeMap<Hall, u32>,
}

impl ShareWeights {
    /// Maximum weight of a hall.
    pub const MAX: u32 = 10_000;

    /// Returns the weight of a hall, from 1 to [`ShareWeights::MAX`].
    pub fn of_hall(&self, hall: &Hall) -> u32 {
        let weight = self.halls.get(hall).copied();
        weight.unwrap_or(DEFAULT_WEIGHT).clamp(1, Self::MAX)
    }

    /// Returns whether these weights are of a higher revision than `known` and so replace them.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        self.revision > known.revision
    }
}
